#!/usr/bin/env node
import { addSettingsCommand, runUntilSignal } from '@hazellift/common'
import { AgentSettingsSchema, describeSetting } from '@hazellift/protocol'
import type { AgentSettings } from '@hazellift/protocol'
import { Command } from 'commander'
import { startAgent } from './startAgent.js'

const start = async (settings: AgentSettings): Promise<void> => {
  const agent = await startAgent(settings)
  process.stdout.write(`agent=${agent.address}\n`)
  runUntilSignal(agent, settings.stopGraceMs)
}

const command = new Command('hazellift-agent')
  .description('Runs beside one endpoint: grants its slots to entries and starts their tasks.')
  .version('0.1.0')

addSettingsCommand(command, { schema: AgentSettingsSchema, describe: describeSetting, start })
await command.parseAsync()
