#!/usr/bin/env node
import { addSettingsCommand, parseCommand, runUntilSignal } from '@hazellift/common'
import type { SettingFault } from '@hazellift/common'
import { AgentSettingsSchema, describeSetting } from '@hazellift/protocol'
import type { AgentSettings } from '@hazellift/protocol'
import { Command } from 'commander'
import { startAgent } from './startAgent.js'

/** Finds faults that involve several settings. */
const check = ({ sessionTimeoutMs, keepAliveMs, memoryMs, startAgeMs }: AgentSettings): SettingFault[] => [
  ...(sessionTimeoutMs > 2 * keepAliveMs ? [] : [{ setting: '--session-timeout-ms', message: 'must be more than twice --keep-alive-ms' }]),
  ...(memoryMs > 2 * startAgeMs ? [] : [{ setting: '--memory-ms', message: 'must be more than twice --start-age-ms' }])
]

const start = async (settings: AgentSettings): Promise<void> => {
  const agent = await startAgent(settings)
  process.stdout.write(`agent=${agent.address}\n`)
  runUntilSignal(agent, settings.stopGraceMs)
}

const command = new Command('hazellift-agent')
  .description('Runs beside one endpoint: grants its slots to entries and starts their tasks.')
  .version('0.1.0')

addSettingsCommand(command, { schema: AgentSettingsSchema, describe: describeSetting, check, start })
await parseCommand(command)
