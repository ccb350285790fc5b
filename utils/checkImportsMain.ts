/**
 * Runs the check of imports from the command line.
 *
 * @packageDocumentation
 */

import { checkImports } from './checkImports.js';

const violations = checkImports();

for (const violation of violations) {
  console.error(violation);
}

console.log(`${violations.length} import violations`);
process.exitCode = violations.length === 0 ? 0 : 1;
