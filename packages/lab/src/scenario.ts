import { readFileSync } from 'node:fs'
import { SUBSET_LIMITS } from '@hazellift/decisions'
import { parse } from 'smol-toml'
import { z } from 'zod'

const oneOrMore = <T extends z.ZodType>(item: T) => z.preprocess((value) => Array.isArray(value) ? value : [value], z.array(item).min(1))
const share = z.number().min(0).max(1)
const seconds = z.number().min(0)

/** A kind of job. Sizes and times of single jobs are log-normal: a mean, and a spread, which is the standard deviation of the logarithm. */
const kindSchema = z.strictObject({
  name: z.string().min(1),
  /** Jobs a second at all entries together. */
  perSecond: z.number().positive(),
  /** Mean number of tasks of a job. */
  tasks: z.number().min(1),
  tasksSpread: z.number().min(0).default(0.4),
  /** Largest number of tasks of a job. */
  tasksMost: z.number().min(1).default(1000),
  /** Run time of a task at an endpoint of speed 1. */
  runMs: z.number().positive(),
  runSpread: z.number().min(0).default(0.4),
  /** Spread of the run times of the tasks of one job. */
  taskSpread: z.number().min(0).default(0.15),
  /** Spread of the callers' estimates of run times. */
  guessSpread: z.number().min(0).default(0.4),
  cpuMilli: z.number().positive(),
  cpuSpread: z.number().min(0).default(0.2),
  memoryMb: z.number().min(0).default(64),
  /** 0 is the highest priority. */
  priority: z.number().int().min(0),
  /** Weight of a job of mean size in the figures; the decisions under test do not see it. */
  worth: z.number().positive().default(1),
  attempts: z.number().int().min(1),
  /** Share of the tasks that fail at any endpoint. */
  failShare: share.default(0.002),
  /** Size of the request's payload, which is also sent with the start of each task. */
  payloadBytes: z.number().int().min(0).default(0)
})

const periodFields = { at: seconds, for: seconds.default(0) }

/** Faults and changes of the load, from `at` on for `for` seconds; `share` is the affected share of the endpoints, agents, entries or links (at least one, unless it is 0) or of the orders, callers or jobs. */
const troubleSchema = z.discriminatedUnion('kind', [
  /** `x` times as many jobs, of the kind `of` or of all kinds. */
  z.strictObject({ kind: z.literal('burst'), ...periodFields, x: z.number().min(1), of: z.string().optional() }),
  /** Orders of agents to endpoints get no answer; starts and stops are carried out seconds later, polls are dropped. */
  z.strictObject({ kind: z.literal('lost_orders'), ...periodFields, share }),
  /** Endpoints at which runs take `x` times as long. */
  z.strictObject({ kind: z.literal('slow_endpoints'), ...periodFields, share, x: z.number().min(1) }),
  /** Endpoints at which every task fails. */
  z.strictObject({ kind: z.literal('failing_endpoints'), ...periodFields, share }),
  /** Endpoints at which no run makes progress meanwhile. */
  z.strictObject({ kind: z.literal('hanging_endpoints'), ...periodFields, share }),
  /** Endpoints crash; new incarnations replace them after `for`, or never if it is 0. */
  z.strictObject({ kind: z.literal('lost_endpoints'), ...periodFields, share }),
  /** Endpoints drain, get no new tasks, and are gone for good after `for`. */
  z.strictObject({ kind: z.literal('leaving_endpoints'), ...periodFields, share }),
  /** Agents whose processes are suspended for `for`. */
  z.strictObject({ kind: z.literal('frozen_agents'), ...periodFields, share }),
  /** Agents whose processes are killed; new ones start after `for`. */
  z.strictObject({ kind: z.literal('killed_agents'), ...periodFields, share }),
  /** Entries whose processes are killed; new ones start after `for`. */
  z.strictObject({ kind: z.literal('killed_entries'), ...periodFields, share }),
  /** Links between entries and agents that deliver nothing meanwhile. */
  z.strictObject({ kind: z.literal('silent_links'), ...periodFields, share }),
  /** Share of the callers that leave after a part of their patience. */
  z.strictObject({ kind: z.literal('callers_leave'), ...periodFields, share }),
  /** Share of the jobs of which every task fails. */
  z.strictObject({ kind: z.literal('hopeless_jobs'), ...periodFields, share }),
  /** The configuration changes every `gapMs`; `bytes` is the size of the encoded document. */
  z.strictObject({ kind: z.literal('config_changes'), ...periodFields, gapMs: z.number().positive(), bytes: z.number().int().min(1) })
])

const scenarioSchema = z.strictObject({
  name: z.string().min(1),
  /** How long jobs arrive. */
  seconds: z.number().positive().max(600),
  zones: z.number().int().min(1).default(3),
  entries: z.strictObject({
    count: z.number().int().min(1),
    /** CPU cores of each entry, assigned round-robin. */
    cores: oneOrMore(z.number().positive()).default([0.675]),
    /** Bandwidth of each entry's link in Mbit/s, assigned round-robin; unlimited if absent. */
    megabits: oneOrMore(z.number().positive()).optional()
  }),
  /** How many entries of its own zone (`near`) and of others (`far`) an agent keeps sessions with. */
  part: z.strictObject({ near: z.number().int().min(0), far: z.number().int().min(0) }).default(SUBSET_LIMITS),
  /** Clients of each zone; a client's first requests all go to the entry that its hash selects. If absent, requests are spread evenly. */
  clientsPerZone: z.number().int().min(1).optional(),
  endpoints: z.strictObject({
    count: z.number().int().min(1),
    cpuMilli: z.number().positive(),
    memoryMb: z.number().positive().default(65_536),
    /** Factors of capacity and of speed, assigned round-robin. */
    sizes: z.array(z.number().positive()).min(1).default([1]),
    speeds: z.array(z.number().positive()).min(1).default([1]),
    agentCores: z.number().positive().default(0.405)
  }),
  /** Response objective of a job: `stretch` times its longest run, plus `slackMs`. */
  objective: z.strictObject({ stretch: z.number().min(1), slackMs: z.number().min(0) }).default({ stretch: 1.6, slackMs: 60 }),
  /** How long callers wait, as a multiple of the objective. */
  patience: z.number().positive().default(4),
  kinds: z.array(kindSchema).min(1),
  troubles: z.array(troubleSchema).default([])
})

/** A load, the system that serves it, and the faults during it. */
export type Scenario = z.infer<typeof scenarioSchema>
/** A kind of job of a scenario. */
export type JobKind = Scenario['kinds'][number]
/** A fault or a change of the load during a scenario. */
export type Trouble = Scenario['troubles'][number]

/** A scenario file cannot be read or is invalid; the message names the file, the key and the reason. */
export class ScenarioError extends Error {}

/**
 * Validates a scenario and fills in defaults.
 *
 * @param value - the parsed content of a TOML file
 * @param source - name of the file, for errors
 * @throws ScenarioError if the scenario is invalid
 */
export const checkScenario = (value: unknown, source: string): Scenario => {
  const parsed = scenarioSchema.safeParse(value)
  if (!parsed.success) {
    const [issue] = parsed.error.issues
    throw new ScenarioError(`${source}: ${issue!.path.join('.') || 'the file'}: ${issue!.message}`)
  }
  const kinds = new Set(parsed.data.kinds.map(({ name }) => name))
  const unmatched = parsed.data.troubles.find((trouble) => trouble.kind === 'burst' && trouble.of !== undefined && !kinds.has(trouble.of))
  if (unmatched !== undefined) throw new ScenarioError(`${source}: troubles.of: must be the name of one of the kinds`)
  return parsed.data
}

/**
 * Reads and validates a scenario file.
 *
 * @throws ScenarioError if the file cannot be read or is invalid
 */
export const readScenario = (path: string): Scenario => {
  let value: unknown
  try {
    value = parse(readFileSync(path, 'utf8'))
  } catch (err) {
    throw new ScenarioError(`${path}: ${(err as Error).message.split('\n')[0]}`)
  }
  return checkScenario(value, path)
}
