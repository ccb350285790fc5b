/**
 * The command line as a whole: its commands, and how it ends.
 */
import { Builtins, Cli, type BaseContext, type Command } from 'clipanion';
import { ConfigPublish } from './commands/configPublish.js';
import { ConfigRestore } from './commands/configRestore.js';
import { OutageEnd } from './commands/outageEnd.js';
import { OutageStart } from './commands/outageStart.js';
import { RequestSend } from './commands/requestSend.js';
import { TaskCancel } from './commands/taskCancel.js';
import { TaskSubmit } from './commands/taskSubmit.js';
import { EXIT_CODES } from './exitCode.js';
import { ConfigCheck } from './queries/configCheck.js';
import { ConfigDiff } from './queries/configDiff.js';
import { ConfigLog } from './queries/configLog.js';
import { ConfigShow } from './queries/configShow.js';
import { LogReportQuery } from './queries/logReportQuery.js';
import { SiteHistograms } from './queries/siteHistograms.js';
import { SiteStatus } from './queries/siteStatus.js';
import { TaskExplain } from './queries/taskExplain.js';
import { TaskFollow } from './queries/taskFollow.js';
import { TaskList } from './queries/taskList.js';
import { TaskShow } from './queries/taskShow.js';

/** All commands and queries. */
export const COMMAND_CLASSES = [
  ConfigCheck,
  ConfigPublish,
  ConfigShow,
  ConfigDiff,
  ConfigLog,
  ConfigRestore,
  OutageStart,
  OutageEnd,
  TaskSubmit,
  TaskShow,
  TaskList,
  TaskCancel,
  TaskFollow,
  TaskExplain,
  RequestSend,
  SiteStatus,
  SiteHistograms,
  LogReportQuery,
  Builtins.HelpCommand,
  Builtins.VersionCommand,
];

const VERSION = '0.1.0';

const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

const parse = (
  cli: Cli<BaseContext>,
  input: readonly string[],
  context: BaseContext,
): Command<BaseContext> | undefined => {
  try {
    return cli.process([...input], context);
  } catch (error) {
    context.stderr.write(cli.error(error, { colored: false }));
    return undefined;
  }
};

/**
 * Runs one command line.
 *
 * @param input - the words after the program's name
 * @param context - streams and environment
 * @returns the exit code
 */
export const runCommandLine = async (
  input: readonly string[],
  context: BaseContext,
): Promise<number> => {
  const cli = new Cli<BaseContext>({
    binaryLabel: 'samphirenotch: operate the scheduler',
    binaryName: 'samphirenotch',
    binaryVersion: VERSION,
    enableColors: false,
  });
  COMMAND_CLASSES.forEach((each) => cli.register(each));
  const command = parse(cli, input, context);
  if (!command) return EXIT_CODES.usage;
  try {
    return await cli.run(command, context);
  } catch (error) {
    context.stderr.write(`Unexpected problem: ${messageOf(error)}\n`);
    return EXIT_CODES.refused;
  }
};
