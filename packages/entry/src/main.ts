#!/usr/bin/env node
import { parseCommand } from '@hazellift/common'
import { Command } from 'commander'
import { policyCommand, workspaceCommand } from './cli/configCommands.js'
import { entryCommand } from './cli/entryCommand.js'
import { jobCommand, submitCommand } from './cli/jobCommands.js'
import { statusCommand } from './cli/statusCommand.js'
import { zonesCommand } from './cli/zoneCommands.js'

const program = new Command('hazellift')
  .description('Dispatcher for sub-second tasks.')
  .version('0.1.0')
  .addCommand(entryCommand())
  .addCommand(submitCommand())
  .addCommand(jobCommand())
  .addCommand(policyCommand())
  .addCommand(workspaceCommand())
  .addCommand(zonesCommand())
  .addCommand(statusCommand())

await parseCommand(program)
