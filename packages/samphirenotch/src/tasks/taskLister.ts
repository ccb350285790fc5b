/**
 * Lists the tasks of all partitions in pages.
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
  /** Cursor of the next page; undefined on the last page. */
  readonly cursor?: string;
}

/** Lists tasks. Works at every entry, since it queries the owner of each partition. */
export class TaskLister {
  /**
   * @param context - components of the entry
   * @param router - finds the owners of partitions
   */
  constructor(
    private readonly context: TaskContext,
    private readonly router: TaskRouter,
  ) {}

  /**
   * Reads one page.
   *
   * @param input - cursor, filters and size of the page
   * @param call - deadline and cancellation
   * @returns the page, or a failure if a partition could not be read
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
