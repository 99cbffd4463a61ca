#!/usr/bin/env node
import { writeFileSync } from 'node:fs'
import { Command, InvalidArgumentError } from 'commander'
import { drawScenario } from './drawScenario.js'
import { runAll } from './runAll.js'
import { plotInTime } from './plot.js'
import { ScenarioError, readScenario } from './scenario.js'
import type { Scenario } from './scenario.js'
import { ablationTable, comparisonTable, figureTable } from './tables.js'
import { VARIANTS } from './variants.js'
import type { WorkResult } from './worker.js'

interface Options {
  seeds: number
  firstSeed: number
  threads?: number
  plot?: string
}

const EXIT_USAGE = 2
const PROGRESS_STEP = 10

const parsePositiveInteger = (text: string): number => {
  const value = Number(text)
  if (!Number.isInteger(value) || value < 1) throw new InvalidArgumentError('a whole number from 1 on')
  return value
}

const parseVariant = (text: string): string => {
  if (!VARIANTS.has(text)) throw new InvalidArgumentError(`one of ${[...VARIANTS.keys()].join(', ')}`)
  return text
}

const printProgress = (done: number, all: number): void => {
  if (done % PROGRESS_STEP === 0 || done === all) process.stderr.write(`${done} of ${all} runs\n`)
}

/** Plays each variant on the same seeds. */
const runVariants = async (scenario: Scenario, variants: string[], { seeds, firstSeed, threads }: Options): Promise<WorkResult[][]> => {
  const items = variants.flatMap((name) => Array.from({ length: seeds }, (_, index) => ({ scenario, seed: firstSeed + index, variant: name })))
  const results = await runAll(items, printProgress, threads)
  return variants.map((name) => results.filter((result) => result.variant === name))
}

const printViolations = (results: WorkResult[]): void => {
  for (const { seed, variant: name, violations } of results) {
    for (const violation of violations) console.log(`VIOLATION seed ${seed}, ${name}: ${violation}`)
  }
  if (results.some(({ violations }) => violations.length > 0)) process.exitCode = 1
}

/** Reads each scenario, plays it, and shows what comes of it. */
const runScenarioFiles = async (files: string[], variants: string[], options: Options, formatResults: (results: WorkResult[][]) => string): Promise<void> => {
  const scenarios = files.map(readScenario)
  for (const scenario of scenarios) {
    const results = await runVariants(scenario, variants, options)
    console.log(`${scenario.name}\n${formatResults(results)}`)
    printViolations(results.flat())
    if (options.plot !== undefined) writeFileSync(`${options.plot}/${scenario.name}.svg`, plotInTime(scenario.name, results.filter(([first]) => first!.inTimeBySecond.length > 0)))
  }
}

/** The same for scenarios drawn from seeds, one run of each. */
const runDrawnScenarios = async ({ base, other, seeds, firstSeed, threads }: Options & { base: string, other: string }): Promise<void> => {
  const drawn = Array.from({ length: seeds }, (_, index) => firstSeed + index)
  const items = [base, other].flatMap((name) => drawn.map((seed) => ({ scenario: drawScenario(seed), seed, variant: name })))
  const results = await runAll(items, printProgress, threads)
  const [first, second] = [base, other].map((name) => results.filter((result) => result.variant === name))
  console.log(comparisonTable(first!, second!))
  printViolations(results)
}

const program = new Command('hazellift-lab').description('Plays loads and faults against the real decisions, on an event clock.')

const addCommand = (name: string, description: string): Command => program.command(name).description(description)
  .option('--seeds <n>', 'seeds of each variant', parsePositiveInteger, 30)
  .option('--first-seed <n>', 'the first of them', parsePositiveInteger, 1)
  .option('--threads <n>', 'worker threads; as many as processors unless given', parsePositiveInteger)
  .option('--plot <folder>', 'write a plot of each scenario there, as SVG')
  .argument('<scenarios...>', 'TOML files')

addCommand('run', 'figures of the product')
  .option('--variant <name>', 'what to play', parseVariant, 'product')
  .action((files: string[], options: Options & { variant: string }) =>
    runScenarioFiles(files, [options.variant], options, ([results]) => figureTable(results!)))
addCommand('compare', 'two variants on the same seeds')
  .option('--base <name>', 'compared with', parseVariant, 'product')
  .requiredOption('--other <name>', 'what is compared', parseVariant)
  .action((files: string[], options: Options & { base: string, other: string }) =>
    runScenarioFiles(files, [options.base, options.other], options, ([base, other]) => comparisonTable(base!, other!)))
addCommand('ablate', 'the product with each decision by itself replaced by the plain way')
  .action((files: string[], options: Options) =>
    runScenarioFiles(files, [...VARIANTS.keys()], options, ([base, ...others]) => ablationTable(base!, others)))
addCommand('bound', 'the product, and one queue that knows everything at once')
  .action((files: string[], options: Options) =>
    runScenarioFiles(files, ['bound', 'product'], options, ([bound, product]) => comparisonTable(bound!, product!)))

program.command('drawn').description('two variants on scenarios of sizes, mixes and troubles drawn from seeds')
  .option('--seeds <n>', 'scenarios', parsePositiveInteger, 30)
  .option('--first-seed <n>', 'the first of them', parsePositiveInteger, 1)
  .option('--threads <n>', 'worker threads; as many as processors unless given', parsePositiveInteger)
  .option('--base <name>', 'compared with', parseVariant, 'plain')
  .option('--other <name>', 'what is compared', parseVariant, 'product')
  .action(runDrawnScenarios)

try {
  await program.parseAsync()
} catch (err) {
  if (!(err instanceof ScenarioError)) throw err
  console.error(err.message)
  process.exitCode = EXIT_USAGE
}
