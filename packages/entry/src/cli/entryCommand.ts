import { addSettingsCommand, runUntilSignal } from '@hazellift/common'
import type { SettingFault } from '@hazellift/common'
import { JOB_ORDERS, PICK_RULES } from '@hazellift/coordination'
import { EntrySettingsSchema, describeSetting } from '@hazellift/protocol'
import type { EntrySettings } from '@hazellift/protocol'
import { Command } from 'commander'
import { startEntry } from '../startEntry.js'

const oneOf = (setting: string, value: string, choices: object): SettingFault[] => {
  const names = Object.keys(choices)
  return names.includes(value) ? [] : [{ setting, message: `'${value}' is not one of ${names.join(', ')}` }]
}

/** Checks the settings for faults that concern several of them or that the schema cannot express. */
export const checkEntrySettings = (settings: EntrySettings): SettingFault[] => [
  ...oneOf('--dispatch-rule', settings.dispatchRule, PICK_RULES),
  ...oneOf('--job-order', settings.jobOrder, JOB_ORDERS),
  ...(URL.canParse(settings.platformUrl) ? [] : [{ setting: '--platform-url', message: `'${settings.platformUrl}' is not a URL` }]),
  ...(settings.staleAfterMs > 2 * settings.heartbeatMs ? [] : [{ setting: '--stale-after-ms', message: 'must be more than twice --heartbeat-ms' }]),
  ...(settings.sessionTimeoutMs > 2 * settings.keepAliveMs ? [] : [{ setting: '--session-timeout-ms', message: 'must be more than twice --keep-alive-ms' }])
]

const start = async (settings: EntrySettings): Promise<void> => {
  const entry = await startEntry(settings)
  process.stdout.write(`api=${entry.apiAddress} session=${entry.sessionAddress}\n`)
  runUntilSignal(entry, settings.stopGraceMs)
}

/** Creates the command `hazellift entry`. */
export const entryCommand = (): Command => addSettingsCommand(
  new Command('entry').description('runs an entry: the API, claims, queues and dispatch'),
  { schema: EntrySettingsSchema, describe: describeSetting, check: checkEntrySettings, start })
