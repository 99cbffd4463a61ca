#!/usr/bin/env node
import { writeFileSync } from 'node:fs'
import { Command, InvalidArgumentError, Option } from 'commander'
import { NEIGHBOURS } from './neighbours.js'
import type { Neighbour } from './neighbours.js'
import { printReports } from './report.js'
import { runTrial } from './runTrial.js'
import { TRIAL_FAULTS } from './types.js'
import type { TrialFault, TrialReport } from './types.js'

interface Flags {
  seed: number
  loads: number[]
  rules: string[]
  seconds: number
  entries: number
  workers: number
  slots: number
  connections: number
  workspaces: number
  burst: number
  maxTasks: number
  neighbour: Neighbour
  fault: TrialFault
  entryArgs: string
  agentArgs: string
  json?: string
}

const parseNumber = (text: string): number => {
  const value = Number(text)
  if (!Number.isFinite(value)) throw new InvalidArgumentError('must be a number')
  return value
}
const parseNumbers = (text: string): number[] => text.split(',').map(parseNumber)
const parseNames = (text: string): string[] => text.split(',')
const parseArgs = (text: string): string[] => text.split(' ').filter((word) => word !== '')

const flags = new Command('measure')
  .description('Starts a deployment on loopback, loads it and prints response times and messages.')
  .option('--seed <n>', 'seed of the load', parseNumber, 1)
  .option('--loads <shares>', 'shares of the slots kept busy', parseNumbers, [0.5, 0.8, 0.95])
  .option('--rules <names>', 'dispatch rules', parseNames, ['credits', 'random', 'two_choices'])
  .option('--seconds <n>', 'length of each load', parseNumber, 10)
  .option('--entries <n>', 'entries', parseNumber, 3)
  .option('--workers <n>', 'agents with endpoints', parseNumber, 11)
  .option('--slots <n>', 'slots of an endpoint', parseNumber, 8)
  .option('--connections <n>', 'connections of an endpoint', parseNumber, 64)
  .option('--workspaces <n>', 'workspaces that share the load', parseNumber, 4)
  .option('--burst <jobs>', 'jobs of 100 tasks that one more workspace sends together, every 3 s', parseNumber, 0)
  .option('--max-tasks <n>', 'largest job', parseNumber, 300)
  .addOption(new Option('--neighbour <name>', 'what one more workspace does to the others').choices(Object.values(NEIGHBOURS)).default(NEIGHBOURS.none))
  .addOption(new Option('--fault <name>', 'caused a third into the load').choices(Object.values(TRIAL_FAULTS)).default(TRIAL_FAULTS.none))
  .option('--entry-args <flags>', 'further flags of entries', '')
  .option('--agent-args <flags>', 'further flags of agents', '')
  .option('--json <file>', 'write the reports there')
  .parse().opts<Flags>()

const reports: TrialReport[] = []
for (const share of flags.loads) {
  for (const rule of flags.rules) {
    reports.push(await runTrial({
      ...flags, rule, share, slotsPerWorker: flags.slots, entryArgs: parseArgs(flags.entryArgs), agentArgs: parseArgs(flags.agentArgs)
    }))
  }
}
printReports(reports)
if (flags.json !== undefined) writeFileSync(flags.json, JSON.stringify(reports, null, 2))
