/** Which version of a model a new generation begins on while a new version is rolled out. */
import type { Model } from '../configuration/configuration.js';
import type { LoadReport } from '../engines/engine.js';

function versionAt(model: Model, report: LoadReport): readonly string[] {
  if (report.role !== 'serve') return [];
  const versions = report.models.filter((held) => held.model === model.name)
    .map((held) => held.version);
  if (versions.includes(model.version)) return [model.version];
  return versions.slice(0, 1);
}

/**
 * The configured version in as large a share of the generations as it has of the engines that
 * serve the model, and the version before in the rest, so that a rollout costs no capacity. An
 * engine with both counts for the configured one. Without any engine, the configured version.
 *
 * @param reports of the engines that are up and not drained
 * @param fraction a random number from 0 up to, but not including, 1
 */
export function versionFor(
  model: Model,
  reports: readonly LoadReport[],
  fraction: number,
): string {
  const versions = reports.flatMap((report) => versionAt(model, report));
  return versions[Math.floor(fraction * versions.length)] ?? model.version;
}
