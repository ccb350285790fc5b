/**
 * What entries say to one another at the letter's size.
 *
 * @packageDocumentation
 */

import {
  HEARTBEAT_INTERVAL_MS,
  MAXIMUM_HEARTBEAT_PEERS,
} from 'samphirenotch/membership/heartbeats.js';

import { type CapacitySection, costAt, figure, type MeasuredSlopes, slopeOf } from './figures.js';
import { ASSUMED, LETTER, MS_PER_SECOND } from './inputs.js';

/**
 * Works out the bytes of heartbeats that an entry sends.
 *
 * @param measured - what the benchmarks wrote
 * @param others - other entries told of in each
 * @param peers - peers that it exchanges heartbeats with
 * @returns bytes per second
 */
export const heartbeatBytes = (measured: MeasuredSlopes, others: number, peers: number): number => {
  const bytes = costAt(slopeOf(measured, 'bytes of a heartbeat'), others);
  return (2 * peers * bytes * MS_PER_SECOND) / HEARTBEAT_INTERVAL_MS;
};

/**
 * Works out the messages among entries.
 *
 * @param measured - what the benchmarks wrote
 * @param entries - number of entries
 * @returns the section
 */
export const messageSection = (measured: MeasuredSlopes, entries: number): CapacitySection => {
  const { othersPerHeartbeat } = ASSUMED;
  const peers = Math.min(MAXIMUM_HEARTBEAT_PEERS, entries - 1);
  const slope = slopeOf(measured, 'bytes of a heartbeat');

  return {
    title: 'Entries: messages among themselves',
    mechanism: 'Heartbeats to a bounded number of peers, each with news of a few other entries.',
    figures: [
      figure(
        'One heartbeat',
        costAt(slope, othersPerHeartbeat),
        'bytes',
        'measured',
        'slope "bytes of a heartbeat" at 6 other entries, without framing',
      ),
      figure(
        'Sent by an entry',
        heartbeatBytes(measured, othersPerHeartbeat, peers),
        'bytes per second',
        'derived',
        'heartbeats to 10 peers and answers to 10, one a second each',
      ),
      figure('Budget', LETTER.bytesPerSecond, 'bytes per second', 'letter', 'for control'),
      figure(
        'Sent with one other entry in each',
        heartbeatBytes(measured, 1, peers),
        'bytes per second',
        'derived',
        'the same at 1 other entry',
      ),
      figure(
        'Today, 7 entries',
        heartbeatBytes(measured, 5, 6),
        'bytes per second',
        'derived',
        '6 peers, 5 other entries in each',
      ),
    ],
  };
};
