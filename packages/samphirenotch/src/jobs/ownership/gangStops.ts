/**
 * Stops gangs of which a member is missing: the others would wait for it in vain.
 */
import type { OwnedRun, OwnedStep } from '../model/ownedJob.js';

/** Stops the members of each run of a gang once, since all of them may be lost one after the other. */
export class GangStops {
  /** Newest run of each gang that was stopped. */
  private readonly stoppedRuns = new WeakMap<OwnedStep, number>();

  /**
   * Stops the other members of a gang.
   *
   * @param member - the run of a member that was lost or may not have started; nothing happens if its task is in
   *   no gang
   */
  stopOthers(member: OwnedRun): void {
    const { step } = member.task;
    if (!step.spec.gang || this.stoppedRuns.get(step) === member.run) return;
    this.stoppedRuns.set(step, member.run);
    step.tasks
      .flatMap(({ runs }) => runs)
      .filter((other) => other !== member && other.run === member.run)
      .forEach((other) => other.agent.stop(other, 'another member of its gang is not there'));
  }
}
