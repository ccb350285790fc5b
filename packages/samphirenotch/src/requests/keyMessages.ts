/**
 * Claims and settlements of keys as messages between entries.
 */
import type { z } from 'zod';
import {
  KeyOutcome as KeyOutcomeMessage,
  KeyState,
  type ClaimKeyResponse,
  type KeptAnswer as KeptAnswerMessage,
  type SettleKeyRequest,
} from '../protocol/generated/samphirenotch/v1/requests.js';
import type { CLAIM_KEY_ANSWER, SETTLE_KEY } from '../protocol/requestsMessages.js';
import { fromHeaderList, toHeaderList } from './forwardFrames.js';
import type { KeptAnswer, KeyDecision, KeyOutcome, KeySettlement } from './keyAuthority.js';

type CheckedAnswer = NonNullable<z.infer<typeof SETTLE_KEY>['answer']>;

const STATE_OF: Readonly<Record<KeyDecision['kind'], KeyState>> = {
  granted: KeyState.KEY_STATE_GRANTED,
  running: KeyState.KEY_STATE_RUNNING,
  answered: KeyState.KEY_STATE_ANSWERED,
  'outcome-unknown': KeyState.KEY_STATE_OUTCOME_UNKNOWN,
  'other-request': KeyState.KEY_STATE_OTHER_REQUEST,
};

const OUTCOME_OF: Readonly<Record<KeyOutcome, KeyOutcomeMessage>> = {
  answered: KeyOutcomeMessage.KEY_OUTCOME_ANSWERED,
  'not-run': KeyOutcomeMessage.KEY_OUTCOME_NOT_RUN,
  unknown: KeyOutcomeMessage.KEY_OUTCOME_UNKNOWN,
};

const kindOf = (state: KeyState): KeyDecision['kind'] => {
  const kinds = Object.keys(STATE_OF) as KeyDecision['kind'][];
  return kinds.find((kind) => STATE_OF[kind] === state) ?? 'outcome-unknown';
};

const outcomeOf = (message: KeyOutcomeMessage): KeyOutcome => {
  const outcomes = Object.keys(OUTCOME_OF) as KeyOutcome[];
  return outcomes.find((outcome) => OUTCOME_OF[outcome] === message) ?? 'unknown';
};

const toAnswer = ({ status, headers, body }: KeptAnswer): KeptAnswerMessage => ({
  status,
  headers: toHeaderList(headers),
  body,
});

const fromAnswer = ({ status, headers, body }: CheckedAnswer): KeptAnswer => ({
  status,
  headers: fromHeaderList(headers),
  body: Buffer.from(body),
});

/**
 * Turns a decision into its message.
 *
 * @param decision - the decision
 * @returns the message
 */
export const claimToMessage = (decision: KeyDecision): ClaimKeyResponse => {
  const state = STATE_OF[decision.kind];
  if (decision.kind !== 'answered' || !decision.answer) return { state, answer: undefined };
  return { state, answer: toAnswer(decision.answer) };
};

/**
 * Reads a decision.
 *
 * @param message - the checked message
 * @returns the decision
 */
export const claimFromMessage = (message: z.infer<typeof CLAIM_KEY_ANSWER>): KeyDecision => {
  const kind = kindOf(message.state);
  if (kind !== 'answered' || !message.answer) return { kind };
  return { kind, answer: fromAnswer(message.answer) };
};

/**
 * Turns a settlement into its message.
 *
 * @param settlement - the settlement
 * @returns the message
 */
export const settlementToMessage = (settlement: KeySettlement): SettleKeyRequest => {
  const { partition, key, token, outcome, answer } = settlement;
  const kept = answer ? toAnswer(answer) : undefined;
  return { partition, key, token, outcome: OUTCOME_OF[outcome], answer: kept };
};

/**
 * Reads a settlement.
 *
 * @param message - the checked message
 * @returns the settlement
 */
export const settlementFromMessage = (message: z.infer<typeof SETTLE_KEY>): KeySettlement => {
  const { partition, key, token, answer } = message;
  const outcome = outcomeOf(message.outcome);
  return { partition, key, token, outcome, ...(answer ? { answer: fromAnswer(answer) } : {}) };
};
