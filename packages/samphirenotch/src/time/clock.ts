/**
 * The source of time of the scheduler, behind an interface so that tests can control it.
 */
import { uptime } from 'node:os';

import { offAbort, onAbort } from './abortListeners.js';

/** A source of time. */
export interface Clock {
  /**
   * Reads a clock that never goes backwards and that keeps running while the process is paused or its
   * machine is suspended.
   *
   * @returns milliseconds since an arbitrary origin
   */
  monotonicMs(): number;

  /**
   * Reads the wall clock.
   *
   * @returns milliseconds since the Unix epoch
   */
  wallMs(): number;

  /**
   * Waits for a duration.
   *
   * @param durationMs - the duration, in milliseconds
   * @param signal - ends the wait early
   * @returns a promise that resolves after the duration or, without an error, when the signal
   * aborts
   */
  sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
}

const MS_PER_S = 1_000;

/** Change of the wall clock against the steady clock from which on it is looked into, in milliseconds. */
const MIN_STEP_MS = 100;

/** Highest difference between two clocks that show the same suspension, in milliseconds. */
const TOLERANCE_MS = 100;

/** Longest time between the first and the last of several readings at the same moment, in milliseconds. */
const LONGEST_READING_MS = 20;

/** The clocks of a machine. All return milliseconds since an arbitrary origin, the wall clock Unix time. */
export interface MachineClocks {
  /** Reads the clock that stands still while the machine is suspended. */
  readonly steadyMs: () => number;
  /** Reads the wall clock, which may be set at any time. */
  readonly wallMs: () => number;
  /** Reads the time since the machine was started, which takes a system call. */
  readonly uptimeMs: () => number;
}

const MACHINE_CLOCKS: MachineClocks = {
  steadyMs: () => performance.now(),
  wallMs: () => Date.now(),
  uptimeMs: () => uptime() * MS_PER_S,
};

/** By how much other clocks are ahead of the steady clock, in milliseconds. */
interface Lead {
  readonly wallMs: number;
  readonly uptimeMs: number;
}

/** Reads all clocks at the same moment: the process may stand still between two of them. */
const readLead = ({ steadyMs, wallMs, uptimeMs }: MachineClocks): Lead => {
  for (;;) {
    const beganMs = steadyMs();
    const lead = { wallMs: wallMs() - beganMs, uptimeMs: uptimeMs() - beganMs };
    if (steadyMs() - beganMs <= LONGEST_READING_MS) return lead;
  }
};

/**
 * The system clock. The steady clock does not count the time for which the machine is suspended, so that
 * time is added: the wall clock and the time since the machine was started are then ahead by the same.
 */
export class SystemClock implements Clock {
  private suspendedMs = 0;

  private lead: Lead;

  /**
   * @param clocks - the clocks of the machine
   */
  constructor(private readonly clocks: MachineClocks = MACHINE_CLOCKS) {
    this.lead = readLead(clocks);
  }

  monotonicMs(): number {
    const { clocks, lead } = this;
    const steadyMs = clocks.steadyMs();
    const steppedMs = clocks.wallMs() - steadyMs - lead.wallMs;
    if (Math.abs(steppedMs) < MIN_STEP_MS) return steadyMs + this.suspendedMs;
    this.addSuspension();
    return clocks.steadyMs() + this.suspendedMs;
  }

  wallMs(): number {
    return this.clocks.wallMs();
  }

  /** Adds the time for which the machine was suspended, unless the wall clock was set. */
  private addSuspension(): void {
    const { lead } = this;
    this.lead = readLead(this.clocks);
    const steppedMs = this.lead.wallMs - lead.wallMs;
    const suspendedMs = this.lead.uptimeMs - lead.uptimeMs;
    if (suspendedMs >= MIN_STEP_MS && Math.abs(suspendedMs - steppedMs) < TOLERANCE_MS)
      this.suspendedMs += suspendedMs;
  }

  sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const finish = (): void => {
        clearTimeout(timer);
        if (signal) offAbort(signal, finish);
        resolve();
      };
      timer = setTimeout(finish, durationMs);
      if (signal) onAbort(signal, finish);
    });
  }
}
