/**
 * Lists tasks over all partitions, page by page.
 */
import type { Failure } from '../failure.js';
import { Err, Ok, type Result } from '../results.js';
import type { Call } from '../time/call.js';
import { partitionsOf } from './jobId.js';
import type { TaskContext } from './taskContext.js';
import { notOwned } from './taskFailure.js';
import { encodeCursor, type ListingInput } from './taskInput.js';
import type { TaskRouter } from './taskRouter.js';
import type { TaskView } from './taskView.js';

const STEP = 'tasks.list';

/** One page of tasks. */
export interface TaskPage {
  readonly tasks: readonly TaskView[];
  /** Where the next page begins; nothing after the last one. */
  readonly cursor?: string;
}

/** Lists tasks at whichever entry is asked. */
export class TaskLister {
  /**
   * @param context - parts of the entry
   * @param router - finds the owners
   */
  constructor(
    private readonly context: TaskContext,
    private readonly router: TaskRouter,
  ) {}

  /**
   * Reads one page.
   *
   * @param input - which page, and what is wanted on it
   * @param call - deadline and cancellation
   * @returns the page, or why a partition could not be read
   */
  async list(input: ListingInput, call: Call): Promise<Result<TaskPage, Failure>> {
    const set = this.context.configuration.current();
    if (!set) return Err(notOwned(STEP, 'configuration'));
    const { tenant, taskClass, state, limit, cursor } = input;
    const tasks: TaskView[] = [];
    for (const partition of this.startingFrom(partitionsOf(set), cursor?.partition)) {
      const route = this.router.routeTo(partition);
      if (route.err) return route;
      const afterId = partition === cursor?.partition ? cursor.afterId : '';
      const remaining = limit - tasks.length;
      const selection = { partition, afterId, limit: remaining, tenant, taskClass, state };
      const page = await route.val.queries.list(selection, call);
      if (page.err) return page;
      tasks.push(...page.val);
      const last = page.val.at(-1);
      if (tasks.length >= limit && last) {
        return Ok({ tasks, cursor: encodeCursor({ partition, afterId: last.id }) });
      }
    }
    return Ok({ tasks });
  }

  private startingFrom(
    partitions: readonly string[],
    first: string | undefined,
  ): readonly string[] {
    const sorted = [...partitions].sort();
    return first === undefined ? sorted : sorted.filter((partition) => partition >= first);
  }
}
