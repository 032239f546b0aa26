/** Priority among a workspace's own requests, from highest to lowest. */
export type Priority = 'interactive' | 'standard' | 'batch';
