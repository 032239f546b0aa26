/** How urgent a workspace's requests are to it; interactive work goes first. */
export type Priority = 'interactive' | 'standard' | 'batch';
