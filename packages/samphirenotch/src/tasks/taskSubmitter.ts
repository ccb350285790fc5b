/**
 * Assigns an id and a partition to a submitted task and sends it to the owner of the partition.
 */
import type { ConfigurationSet } from '../config/objects.js';
import { Failure } from '../failure.js';
import { Err, type Result } from '../results.js';
import type { Call } from '../time/call.js';
import {
  choosePartition,
  makeJobId,
  partitionsOf,
  uniquePartOfKey,
  uniquePartWithoutKey,
} from './jobId.js';
import type { TaskContext } from './taskContext.js';
import { notOwned } from './taskFailure.js';
import type { SubmissionInput } from './taskInput.js';
import type { TaskRouter } from './taskRouter.js';
import type { TaskView } from './taskView.js';

const STEP = 'tasks.submit';
const MAXIMUM_PARTITIONS_TRIED = 3;

/** Submits tasks. Works at every entry, since it routes each task to the owner of its partition. */
export class TaskSubmitter {
  /**
   * @param context - components of the entry
   * @param router - finds the owner of a partition
   */
  constructor(
    private readonly context: TaskContext,
    private readonly router: TaskRouter,
  ) {}

  /**
   * Submits a task. With an idempotency key, partition and id are derived from the key.
   *
   * @param input - the task
   * @param call - deadline and cancellation
   * @returns the task, once it is durable
   */
  async submit(input: SubmissionInput, call: Call): Promise<Result<TaskView, Failure>> {
    const set = this.context.configuration.current();
    if (!set) return Err(notOwned(STEP, 'configuration'));
    const invalid = this.validate(set, input);
    if (invalid) return Err(invalid);
    const { tenant, idempotencyKey } = input;
    if (idempotencyKey === undefined) return this.submitAnywhere(set, input, call);
    const unique = uniquePartOfKey(tenant, idempotencyKey);
    const partition = choosePartition(partitionsOf(set), unique);
    if (partition === undefined) return Err(notOwned(STEP, 'partition'));
    return this.submitTo(partition, unique, input, call);
  }

  private async submitAnywhere(
    set: ConfigurationSet,
    input: SubmissionInput,
    call: Call,
  ): Promise<Result<TaskView, Failure>> {
    const unique = uniquePartWithoutKey(this.context.random.uniqueId());
    let result: Result<TaskView, Failure> = Err(notOwned(STEP, 'partition'));
    for (const partition of this.candidatePartitions(set, input.taskClass, unique)) {
      result = await this.submitTo(partition, unique, input, call);
      if (result.ok || !this.mayTryAnother(result.val)) return result;
    }
    return result;
  }

  private mayTryAnother(failure: Failure): boolean {
    return failure.effect === 'not-run' && failure.code === 'not-owner';
  }

  private submitTo(
    partition: string,
    unique: string,
    input: SubmissionInput,
    call: Call,
  ): Promise<Result<TaskView, Failure>> {
    const route = this.router.routeTo(partition);
    if (route.err) return Promise.resolve(route);
    const { taskClass, tenant, payload } = input;
    const jobId = makeJobId(partition, unique);
    return route.val.commands.submit({ jobId, partition, taskClass, tenant, payload }, call);
  }

  /**
   * Chooses a few partitions to try in turn: first one in this entry's data centre if the class may
   * run there, then one in the other data centres of the class, then one anywhere.
   */
  private candidatePartitions(
    set: ConfigurationSet,
    taskClass: string,
    unique: string,
  ): readonly string[] {
    const allowed = set.taskClasses.get(taskClass)?.dataCentres ?? [];
    const { selfDataCentre } = this.context;
    const far = allowed.filter((name) => name !== selfDataCentre);
    const near = allowed.includes(selfDataCentre) ? [selfDataCentre] : [];
    const candidateSets = [partitionsOf(set, near), partitionsOf(set, far), partitionsOf(set)];
    const chosen = candidateSets.flatMap((partitions) => choosePartition(partitions, unique) ?? []);
    return [...new Set(chosen)].slice(0, MAXIMUM_PARTITIONS_TRIED);
  }

  private validate(
    set: ConfigurationSet,
    { taskClass, tenant }: SubmissionInput,
  ): Failure | undefined {
    const configured = set.taskClasses.get(taskClass);
    if (!configured || configured.kind === 'request') {
      return this.invalid(`${taskClass} is not a class of tasks`);
    }
    return set.tenants.has(tenant) ? undefined : this.invalid(`${tenant} is not a tenant`);
  }

  private invalid(message: string): Failure {
    return new Failure({ code: 'invalid', step: STEP, peer: 'caller', effect: 'not-run', message });
  }
}
