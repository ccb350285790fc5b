/**
 * Holds a process to a share of a processor, as a small VM does, by stopping it for a part of each period.
 */

/** Length of a period, in milliseconds. */
const PERIOD_MS = 100;

/** The limit of one process. */
export class ProcessorLimit {
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param share - share of a processor; nothing is held if it is a whole one
   * @param signal - sends a signal to the process
   */
  constructor(
    private readonly share: number,
    private readonly signal: (signal: 'SIGSTOP' | 'SIGCONT') => void,
  ) {}

  /** Begins to hold the process. */
  hold(): void {
    if (this.share >= 1) return;
    this.release();
    this.stop();
  }

  /** Lets go of the process, in whatever state it is. */
  release(): void {
    clearTimeout(this.timer);
  }

  private stop(): void {
    this.signal('SIGSTOP');
    this.timer = setTimeout(() => this.continue(), PERIOD_MS * (1 - this.share));
  }

  private continue(): void {
    this.signal('SIGCONT');
    this.timer = setTimeout(() => this.stop(), PERIOD_MS * this.share);
  }
}
