import { CommanderError } from 'commander'
import type { Command } from 'commander'
import { EXIT_CODES } from './runProgram.js'

const throwOnExit = (command: Command): void => {
  command.exitOverride()
  for (const subcommand of command.commands) throwOnExit(subcommand)
}

/**
 * Runs a program's command line; a wrong flag or argument ends it with the
 * code for usage.
 *
 * @param program - with all its commands
 */
export const parseCommand = async (program: Command): Promise<void> => {
  throwOnExit(program)
  try {
    await program.parseAsync()
  } catch (err) {
    if (!(err instanceof CommanderError)) throw err
    process.exitCode = err.exitCode === 0 ? EXIT_CODES.ok : EXIT_CODES.usage
  }
}
