import { readFileSync } from 'node:fs'
import { SUBSET_LIMITS } from '@hazellift/decisions'
import { parse } from 'smol-toml'
import { z } from 'zod'

const oneOrMore = <T extends z.ZodType>(item: T) => z.preprocess((value) => Array.isArray(value) ? value : [value], z.array(item).min(1))
const share = z.number().min(0).max(1)
const seconds = z.number().min(0)

/** A kind of job. Sizes and times of single jobs are drawn around the means, with the spread of their logarithm. */
const kindSchema = z.strictObject({
  name: z.string().min(1),
  /** Jobs a second, over all entries. */
  perSecond: z.number().positive(),
  tasks: z.number().min(1),
  tasksSpread: z.number().min(0).default(0.4),
  tasksMost: z.number().min(1).default(1000),
  /** Run time of a task at an endpoint of usual speed. */
  runMs: z.number().positive(),
  runSpread: z.number().min(0).default(0.4),
  /** Difference between the tasks of one job. */
  taskSpread: z.number().min(0).default(0.15),
  /** How wrong callers guess run times. */
  guessSpread: z.number().min(0).default(0.4),
  cpuMilli: z.number().positive(),
  cpuSpread: z.number().min(0).default(0.2),
  memoryMb: z.number().min(0).default(64),
  /** 0 goes first. */
  priority: z.number().int().min(0),
  /** What a job of mean size is worth, for the figures; nothing that decides knows it. */
  worth: z.number().positive().default(1),
  attempts: z.number().int().min(1),
  /** Tasks that fail by their own fault. */
  failShare: share.default(0.002),
  /** Of a request, and of what its tasks are started with. */
  payloadBytes: z.number().int().min(0).default(0)
})

const periodFields = { at: seconds, for: seconds.default(0) }

/** What goes wrong; `share` is a part of the endpoints, agents or entries, at least one. */
const troubleSchema = z.discriminatedUnion('kind', [
  /** `x` times as many jobs, of one kind or all. */
  z.strictObject({ kind: z.literal('burst'), ...periodFields, x: z.number().min(1), of: z.string().optional() }),
  /** Orders without an answer; most are carried out seconds later. */
  z.strictObject({ kind: z.literal('lost_orders'), ...periodFields, share }),
  z.strictObject({ kind: z.literal('slow_endpoints'), ...periodFields, share, x: z.number().min(1) }),
  /** They fail all that they start. */
  z.strictObject({ kind: z.literal('failing_endpoints'), ...periodFields, share }),
  /** What they start does not end while it lasts. */
  z.strictObject({ kind: z.literal('hanging_endpoints'), ...periodFields, share }),
  /** They crash; others come after `for`, or never if it is 0. */
  z.strictObject({ kind: z.literal('lost_endpoints'), ...periodFields, share }),
  /** They say that they leave, get nothing more, and are gone for good after `for`. */
  z.strictObject({ kind: z.literal('leaving_endpoints'), ...periodFields, share }),
  z.strictObject({ kind: z.literal('frozen_agents'), ...periodFields, share }),
  z.strictObject({ kind: z.literal('killed_agents'), ...periodFields, share }),
  z.strictObject({ kind: z.literal('killed_entries'), ...periodFields, share }),
  /** Links between entries and agents that fall silent. */
  z.strictObject({ kind: z.literal('silent_links'), ...periodFields, share }),
  /** Callers leave after a part of their time. */
  z.strictObject({ kind: z.literal('callers_leave'), ...periodFields, share }),
  /** Jobs of which every task fails. */
  z.strictObject({ kind: z.literal('hopeless_jobs'), ...periodFields, share }),
  /** The configuration changes, again after each gap; `bytes` as packed. */
  z.strictObject({ kind: z.literal('config_changes'), ...periodFields, gapMs: z.number().positive(), bytes: z.number().int().min(1) })
])

const scenarioSchema = z.strictObject({
  name: z.string().min(1),
  /** Length of the traffic. */
  seconds: z.number().positive().max(600),
  zones: z.number().int().min(1).default(3),
  entries: z.strictObject({
    count: z.number().int().min(1),
    /** Shares of a core, by turns. */
    cores: oneOrMore(z.number().positive()).default([0.675]),
    /** What their links carry, in Mbit/s, by turns; without bound if none is given. */
    megabits: oneOrMore(z.number().positive()).optional()
  }),
  /** How many entries an agent holds sessions with. */
  part: z.strictObject({ near: z.number().int().min(0), far: z.number().int().min(0) }).default(SUBSET_LIMITS),
  /** Clients of each zone; all requests of one go to the entry that its hash gives. Without it requests are spread evenly. */
  clientsPerZone: z.number().int().min(1).optional(),
  endpoints: z.strictObject({
    count: z.number().int().min(1),
    cpuMilli: z.number().positive(),
    memoryMb: z.number().positive().default(65_536),
    /** Sizes and speeds by turns. */
    sizes: z.array(z.number().positive()).min(1).default([1]),
    speeds: z.array(z.number().positive()).min(1).default([1]),
    agentCores: z.number().positive().default(0.405)
  }),
  /** Times of the response objective: `stretch` x the longest run and `slackMs`. */
  objective: z.strictObject({ stretch: z.number().min(1), slackMs: z.number().min(0) }).default({ stretch: 1.6, slackMs: 60 }),
  /** Time that callers wait, as a multiple of the objective. */
  patience: z.number().positive().default(4),
  kinds: z.array(kindSchema).min(1),
  troubles: z.array(troubleSchema).default([])
})

/** A load and its troubles. */
export type Scenario = z.infer<typeof scenarioSchema>
export type JobKind = Scenario['kinds'][number]
export type Trouble = Scenario['troubles'][number]

/** A scenario that cannot be used; the message names the file, the key and the reason. */
export class ScenarioError extends Error {}

/**
 * Checks a scenario.
 *
 * @param value - as a TOML file holds it
 * @param source - named in errors
 * @throws BadScenario
 */
export const checkScenario = (value: unknown, source: string): Scenario => {
  const parsed = scenarioSchema.safeParse(value)
  if (!parsed.success) {
    const [issue] = parsed.error.issues
    throw new ScenarioError(`${source}: ${issue!.path.join('.') || 'the file'}: ${issue!.message}`)
  }
  const kinds = new Set(parsed.data.kinds.map(({ name }) => name))
  const unmatched = parsed.data.troubles.find((trouble) => trouble.kind === 'burst' && trouble.of !== undefined && !kinds.has(trouble.of))
  if (unmatched !== undefined) throw new ScenarioError(`${source}: troubles.of: no kind of that name`)
  return parsed.data
}

/**
 * Reads a scenario file.
 *
 * @throws BadScenario if it cannot be read or used
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
