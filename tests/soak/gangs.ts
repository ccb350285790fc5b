/**
 * Gangs of the workers' stand-ins: members of a run work from when all are there, and end together.
 */
import { readTask, type SoakStep } from './soakJob.js';

/** A member on its worker. */
export interface GangMember {
  readonly task: string;
  readonly run: number;
  readonly rack: string;
  readonly step: SoakStep;
  /**
   * Ends it.
   *
   * @param kind - how
   */
  end(kind: 'done' | 'broken'): void;
}

/** Longer work of a gang on more than one rack. */
const REMOTE_FACTOR = 1.5;

const nameOf = ({ task, run }: GangMember): string => {
  const { jobId, occurrence, step } = readTask(task);
  return `${jobId}.${occurrence}.${step} ${run}`;
};

/** All gangs of a site. */
export class Gangs {
  private readonly members = new Map<string, Set<GangMember>>();

  /** Those of which a member has ended. */
  private readonly over = new Set<string>();

  /** Those of which all members were there at one moment. */
  private readonly complete = new Set<string>();

  /**
   * A member is there.
   *
   * @param member - the member
   */
  join(member: GangMember): void {
    const name = nameOf(member);
    if (this.over.has(name)) {
      member.end('broken');
      return;
    }
    const present = this.members.get(name) ?? new Set();
    present.add(member);
    this.members.set(name, present);
    const indexes = new Set([...present].map(({ task }) => readTask(task).index));
    if (indexes.size === member.step.count) this.complete.add(name);
  }

  /**
   * Tells whether a member works.
   *
   * @param member - the member
   * @returns true if all were there
   */
  isAtWork(member: GangMember): boolean {
    return this.complete.has(nameOf(member));
  }

  /**
   * Returns how long the work takes as a share of the usual.
   *
   * @param member - the member
   * @returns 1 on one rack
   */
  slownessOf(member: GangMember): number {
    const racks = new Set([...(this.members.get(nameOf(member)) ?? [])].map(({ rack }) => rack));
    return member.step.sameRack && racks.size > 1 ? REMOTE_FACTOR : 1;
  }

  /**
   * A member has ended: the others end with it.
   *
   * @param member - the member
   * @param kind - how the others end
   */
  leave(member: GangMember, kind: 'done' | 'broken'): void {
    const name = nameOf(member);
    const present = this.members.get(name);
    if (!present?.delete(member)) return;
    this.over.add(name);
    this.members.delete(name);
    present.forEach((other) => other.end(kind));
  }
}
