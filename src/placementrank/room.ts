/**
 * Free room of engines, counted in places: how many requests of a given size find a slot and memory
 * on one engine. Free memory that is spread over many engines is of no use to a long prompt, so a
 * sum of free tokens would promise room that no engine has.
 */

export interface EngineRoom {
  readonly freeSlots: number;
  readonly freeTokens: number;
}

/** Places to be left free for requests of `tokens` each. */
export interface KeptPlaces {
  readonly count: number;
  readonly tokens: number;
}

/** What a request takes of one engine; a standby copy takes no slot. */
export interface Taken {
  readonly slots: number;
  readonly tokens: number;
}

export function placesOf({ freeSlots, freeTokens }: EngineRoom, tokens: number): number {
  return Math.max(0, Math.min(freeSlots, Math.floor(freeTokens / Math.max(1, tokens))));
}

export function totalPlaces(rooms: readonly EngineRoom[], tokens: number): number {
  return rooms.reduce((sum, room) => sum + placesOf(room, tokens), 0);
}

/** Free tokens that make no whole place; none where slots are short. */
function remainderOf(room: EngineRoom, tokens: number): number {
  const places = placesOf(room, tokens);
  return room.freeSlots > places ? room.freeTokens - places * tokens : 0;
}

/**
 * For each engine, whether a request may be placed there so that the kept places are free, or come
 * free next. While there are too few of them, the engines that are nearest to another one are left
 * to it: requests that are smaller than a place would otherwise fill each bit of room as it comes
 * free, and no place would ever come of it.
 */
function keepersOfSize(
  rooms: readonly EngineRoom[],
  taken: Taken,
  { count, tokens }: KeptPlaces,
): readonly boolean[] {
  const free = totalPlaces(rooms, tokens);
  const building = new Set(rooms
    .map((room, index) => ({ index, remainder: remainderOf(room, tokens) }))
    .sort((left, right) => right.remainder - left.remainder)
    .slice(0, Math.max(0, count - free)).map(({ index }) => index));
  return rooms.map((room, index) => {
    const after = {
      freeSlots: room.freeSlots - taken.slots, freeTokens: room.freeTokens - taken.tokens,
    };
    const lost = placesOf(room, tokens) - placesOf(after, tokens);
    return lost === 0 ? !building.has(index) : free - lost >= count;
  });
}

/** For each engine, whether a request may be placed there beside all that is kept. */
export function keepersOf(
  rooms: readonly EngineRoom[],
  taken: Taken,
  kept: readonly KeptPlaces[],
): readonly boolean[] {
  const bySize = kept.filter(({ count }) => count > 0)
    .map((places) => keepersOfSize(rooms, taken, places));
  return rooms.map((_, index) => bySize.every((keepers) => keepers[index]));
}
