/**
 * `npm run demo [-- --site council|kovacik]`: a site of separate processes under load and faults.
 */
import { parseArgs } from 'node:util';

import { DemoRun } from './demoRun.js';
import { DEMO_SITES } from './demoSite.js';

const { values } = parseArgs({ options: { site: { type: 'string', default: 'council' } } });
const demo = DEMO_SITES[values.site];

if (demo) {
  const holds = await new DemoRun(demo, process.cwd(), (line) => console.log(line)).run();
  process.exitCode = holds ? 0 : 1;
} else {
  console.error(`There is no site ${values.site}. Sites: ${Object.keys(DEMO_SITES).join(', ')}.`);
  process.exitCode = 2;
}
