/**
 * What a publisher is asked for, and what becomes of it.
 */
import type { Failure } from '../failure.js';
import type { ChangedObject } from './changedObjects.js';
import type { ConfigurationProblem } from './configurationProblem.js';
import type { ConfigurationFiles } from './draft.js';
import type { AcceptedRecord } from './storedRoot.js';

/** Who publishes, and why. */
export interface Publication {
  readonly publishedBy: string;
  readonly why: string;
}

/** Files to be published. */
export interface PublishRequest extends Publication {
  readonly files: ConfigurationFiles;
  /** Version that the files were edited from; nothing for the one that is accepted now. */
  readonly baseVersion?: number;
}

/** A configuration that is accepted. */
export interface Published {
  readonly record: AcceptedRecord;
  /** False if the files were the accepted ones already. */
  readonly isNew: boolean;
}

/** Why nothing was published. */
export type PublishRefusal =
  | { readonly kind: 'problems'; readonly problems: readonly ConfigurationProblem[] }
  | {
      readonly kind: 'conflict';
      readonly message: string;
      /** The accepted record that the publisher lost to. */
      readonly current?: AcceptedRecord;
      /** What changed since the base version. */
      readonly changed: readonly ChangedObject[];
    }
  | { readonly kind: 'failed'; readonly failure: Failure };
