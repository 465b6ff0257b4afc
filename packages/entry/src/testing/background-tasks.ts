/** Background tasks for tests. */
import { BackgroundTasks } from '@fighub/core';

/** Returns tasks, and the reports of those that have failed. */
export function reportedTasks(): { readonly tasks: BackgroundTasks; readonly reports: [string, unknown][] } {
  const reports: [string, unknown][] = [];
  return { tasks: new BackgroundTasks((task, error) => reports.push([task, error])), reports };
}
