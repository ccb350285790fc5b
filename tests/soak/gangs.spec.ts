/**
 * Gangs of the soak's workers work only together and end together.
 */
import test from 'ava';

import { Gangs, type GangMember } from './gangs.js';
import { makeStep } from './soakJob.js';

const makeGang = (count: number) => {
  const gangs = new Gangs();
  const ends: string[] = [];
  const members = Array.from({ length: count }, (_each, index): GangMember => {
    const task = `00000000000000a1.0.0.${index}`;
    const step = makeStep({ count, gang: true, sameRack: true });
    return { task, run: 7, rack: `r${index}`, step, end: (kind) => ends.push(`${index} ${kind}`) };
  });
  return { gangs, ends, members };
};

test('should work from the moment when all members of a run are there', (t) => {
  const { gangs, members } = makeGang(2);
  const [first, second] = members as [GangMember, GangMember];
  gangs.join(first);
  gangs.join({ ...second, run: 6 });
  t.false(gangs.isAtWork(first));
  gangs.join(second);
  t.true(gangs.isAtWork(first));
  t.is(gangs.slownessOf(first), 1.5);
});

test('should end all members with the first', (t) => {
  const { gangs, ends, members } = makeGang(3);
  members.forEach((member) => gangs.join(member));
  const [first] = members as [GangMember];
  gangs.leave(first, 'done');
  t.deepEqual(ends, ['1 done', '2 done']);
});

test('should break members that come after the end of another', (t) => {
  const { gangs, ends, members } = makeGang(2);
  const [first, second] = members as [GangMember, GangMember];
  gangs.join(first);
  gangs.leave(first, 'broken');
  gangs.join(second);
  t.false(gangs.isAtWork(second));
  t.deepEqual(ends, ['1 broken']);
});
