import type { Cluster } from '../cluster/cluster.js'
import type { LoadJob, LoadOptions } from './types.js'

/** The workspace that a trial sets against the others. */
export const NEIGHBOUR_WORKSPACE = 'neighbour'

/** What that workspace does to the others. */
export const NEIGHBOURS = {
  none: 'none',
  /** Asks for far more than it can get. */
  flood: 'flood',
  /** Its policy fails at every submission. */
  throwingPolicy: 'throwing-policy',
  /** Its policy is at the limit of cost. */
  costlyPolicy: 'costly-policy',
  /** Its jobs name a service that nobody offers. */
  hopeless: 'hopeless',
  /** Its tasks fail at every endpoint. */
  failing: 'failing'
} as const
export type Neighbour = typeof NEIGHBOURS[keyof typeof NEIGHBOURS]

const JOBS_PER_SECOND = 200
const TASK_MS = 100
const TASKS_PER_JOB = 4
const FAILING_JOBS_PER_SECOND = 10

const LIST_LITERAL = JSON.stringify(Array.from({ length: 16 }, (_, index) => index))
const LONG_CONDITION = Array.from({ length: 8 }, () => 'x * 2 + 1 > 0').join(' && ')
const COSTLY_NUMBER = `${LIST_LITERAL}.filter(x, ${LONG_CONDITION}).size() - 16`

const POLICIES: Partial<Record<Neighbour, Record<string, string>>> = {
  [NEIGHBOURS.throwingPolicy]: { admit: 'job.labels["absent"] == "x"' },
  [NEIGHBOURS.costlyPolicy]: {
    admit: `!${LIST_LITERAL}.all(x, ${LONG_CONDITION})`,
    reason: `string(${LIST_LITERAL}.map(x, x * 2 + 1).size())`,
    priority: COSTLY_NUMBER,
    running: COSTLY_NUMBER,
    queued: COSTLY_NUMBER,
    rate: COSTLY_NUMBER,
    retries: COSTLY_NUMBER
  }
}

/** Jobs of the neighbour, evenly spaced and spread over the entries. */
export const createNeighbourJobs = ({ neighbour, seconds, entries }: LoadOptions): LoadJob[] => {
  if (neighbour === NEIGHBOURS.none) return []
  const perSecond = neighbour === NEIGHBOURS.failing ? FAILING_JOBS_PER_SECOND : JOBS_PER_SECOND
  return Array.from({ length: Math.floor(seconds * perSecond) }, (_, n) => ({
    id: `neighbour-${n}`,
    workspace: NEIGHBOUR_WORKSPACE,
    service: neighbour === NEIGHBOURS.hopeless ? 'nobody-offers-this' : undefined,
    fails: neighbour === NEIGHBOURS.failing,
    atMs: n * 1000 / perSecond,
    taskMs: Array<number>(TASKS_PER_JOB).fill(TASK_MS),
    declaredMs: Array<number>(TASKS_PER_JOB).fill(TASK_MS),
    unrepeatable: false,
    entry: n % entries
  }))
}

/** Gives the neighbour its policy, if it has one of its own. */
export const putNeighbourPolicy = async (cluster: Cluster, neighbour: Neighbour): Promise<void> => {
  const policy = POLICIES[neighbour]
  if (policy !== undefined) await cluster.putPolicy(NEIGHBOUR_WORKSPACE, policy)
}
