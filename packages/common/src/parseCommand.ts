import { CommanderError } from 'commander'
import type { Command } from 'commander'
import { EXIT_CODES } from './runProgram.js'

const throwOnExit = (command: Command): void => {
  command.exitOverride()
  for (const subcommand of command.commands) throwOnExit(subcommand)
}

/**
 * Parses the command line and runs the command. An invalid flag or argument
 * sets the exit code for usage errors.
 *
 * @param program - the root command with all its subcommands
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
