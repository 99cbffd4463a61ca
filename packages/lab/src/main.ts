#!/usr/bin/env node
import { writeFileSync } from 'node:fs'
import { Command, InvalidArgumentError } from 'commander'
import { drawScenario } from './drawScenario.js'
import { playAll } from './playAll.js'
import { plotInTime } from './plot.js'
import { BadScenario, readScenario } from './scenario.js'
import type { Scenario } from './scenario.js'
import { ablationTable, compareTable, figureTable } from './tables.js'
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

const wholeNumber = (text: string): number => {
  const value = Number(text)
  if (!Number.isInteger(value) || value < 1) throw new InvalidArgumentError('a whole number from 1 on')
  return value
}

const variant = (text: string): string => {
  if (!VARIANTS.has(text)) throw new InvalidArgumentError(`one of ${[...VARIANTS.keys()].join(', ')}`)
  return text
}

const showProgress = (done: number, all: number): void => {
  if (done % PROGRESS_STEP === 0 || done === all) process.stderr.write(`${done} of ${all} runs\n`)
}

/** Plays each variant on the same seeds. */
const playVariants = async (scenario: Scenario, variants: string[], { seeds, firstSeed, threads }: Options): Promise<WorkResult[][]> => {
  const items = variants.flatMap((name) => Array.from({ length: seeds }, (_, index) => ({ scenario, seed: firstSeed + index, variant: name })))
  const results = await playAll(items, showProgress, threads)
  return variants.map((name) => results.filter((result) => result.variant === name))
}

const showViolations = (results: WorkResult[]): void => {
  for (const { seed, variant: name, violations } of results) {
    for (const violation of violations) console.log(`VIOLATION seed ${seed}, ${name}: ${violation}`)
  }
  if (results.some(({ violations }) => violations.length > 0)) process.exitCode = 1
}

/** Reads each scenario, plays it, and shows what comes of it. */
const each = async (files: string[], variants: string[], options: Options, show: (results: WorkResult[][]) => string): Promise<void> => {
  const scenarios = files.map(readScenario)
  for (const scenario of scenarios) {
    const results = await playVariants(scenario, variants, options)
    console.log(`${scenario.name}\n${show(results)}`)
    showViolations(results.flat())
    if (options.plot !== undefined) writeFileSync(`${options.plot}/${scenario.name}.svg`, plotInTime(scenario.name, results.filter(([first]) => first!.seconds.length > 0)))
  }
}

/** The same for scenarios drawn from seeds, one run of each. */
const playDrawn = async ({ base, other, seeds, firstSeed, threads }: Options & { base: string, other: string }): Promise<void> => {
  const drawn = Array.from({ length: seeds }, (_, index) => firstSeed + index)
  const items = [base, other].flatMap((name) => drawn.map((seed) => ({ scenario: drawScenario(seed), seed, variant: name })))
  const results = await playAll(items, showProgress, threads)
  const [first, second] = [base, other].map((name) => results.filter((result) => result.variant === name))
  console.log(compareTable(first!, second!))
  showViolations(results)
}

const program = new Command('hazellift-lab').description('Plays loads and faults against the real decisions, on an event clock.')

const command = (name: string, description: string): Command => program.command(name).description(description)
  .option('--seeds <n>', 'seeds of each variant', wholeNumber, 30)
  .option('--first-seed <n>', 'the first of them', wholeNumber, 1)
  .option('--threads <n>', 'worker threads; as many as processors unless given', wholeNumber)
  .option('--plot <folder>', 'write a plot of each scenario there, as SVG')
  .argument('<scenarios...>', 'TOML files')

command('run', 'figures of the product')
  .option('--variant <name>', 'what to play', variant, 'product')
  .action((files: string[], options: Options & { variant: string }) =>
    each(files, [options.variant], options, ([results]) => figureTable(results!)))
command('compare', 'two variants on the same seeds')
  .option('--base <name>', 'compared with', variant, 'product')
  .requiredOption('--other <name>', 'what is compared', variant)
  .action((files: string[], options: Options & { base: string, other: string }) =>
    each(files, [options.base, options.other], options, ([base, other]) => compareTable(base!, other!)))
command('ablate', 'the product with each decision by itself replaced by the plain way')
  .action((files: string[], options: Options) =>
    each(files, [...VARIANTS.keys()], options, ([base, ...others]) => ablationTable(base!, others)))
command('bound', 'the product, and one queue that knows everything at once')
  .action((files: string[], options: Options) =>
    each(files, ['bound', 'product'], options, ([bound, product]) => compareTable(bound!, product!)))

program.command('drawn').description('two variants on scenarios of sizes, mixes and troubles drawn from seeds')
  .option('--seeds <n>', 'scenarios', wholeNumber, 30)
  .option('--first-seed <n>', 'the first of them', wholeNumber, 1)
  .option('--threads <n>', 'worker threads; as many as processors unless given', wholeNumber)
  .option('--base <name>', 'compared with', variant, 'plain')
  .option('--other <name>', 'what is compared', variant, 'product')
  .action(playDrawn)

try {
  await program.parseAsync()
} catch (err) {
  if (!(err instanceof BadScenario)) throw err
  console.error(err.message)
  process.exitCode = EXIT_USAGE
}
