import type { DescMessage, MessageShape } from '@bufbuild/protobuf'
import type { Command } from 'commander'
import { enableLogs } from './createLogger.js'
import { errorMessage } from './errors.js'
import { addSettingOptions, loadSettings, printSettings } from './loadSettings.js'
import type { DescribeSetting, SettingFault } from './loadSettings.js'
import { EXIT_CODES } from './runProgram.js'

/** A program whose settings are described by a schema. */
export interface SettingsCommand<Desc extends DescMessage> {
  schema: Desc
  describe: DescribeSetting
  /** Finds faults that the schema cannot express, such as conflicts between settings. */
  check?: (settings: MessageShape<Desc>) => SettingFault[]
  start: (settings: MessageShape<Desc>) => Promise<void>
}

const exitWithFaults = (faults: SettingFault[]): never => {
  for (const { setting, message } of faults) process.stderr.write(`${setting}: ${message}\n`)
  process.exit(EXIT_CODES.usage)
}

/**
 * Adds the settings of a program to a command, and an action that checks them
 * and starts the program. Invalid settings exit with the code for usage errors,
 * a failed start with the code for internal errors.
 *
 * @param command - the command to extend
 * @param program - the program's settings and start function
 * @returns the command
 */
export const addSettingsCommand = <Desc extends DescMessage>(command: Command, program: SettingsCommand<Desc>): Command => {
  const { schema, describe, check, start } = program
  addSettingOptions(command, schema, describe)
  command.option('--print-settings', 'print the settings in force and exit')
  return command.action(async (values: Record<string, string | undefined>) => {
    const settings = loadSettings(schema, describe, values)
    if (!settings.ok) return exitWithFaults(settings.err)
    const faults = check?.(settings.value) ?? []
    if (faults.length > 0) return exitWithFaults(faults)
    if (values['printSettings']) {
      process.stdout.write(printSettings(schema, describe, settings.value) + '\n')
      return
    }
    const { log } = settings.value as { log?: string }
    enableLogs(log ?? '')
    try {
      await start(settings.value)
    } catch (err) {
      process.stderr.write(`cannot start: ${errorMessage(err)}\n`)
      process.exit(EXIT_CODES.internal)
    }
  })
}
