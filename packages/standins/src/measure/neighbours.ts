import type { Cluster } from '../cluster/cluster.js'
import type { LoadJob, LoadOptions } from './types.js'

/** The workspace that tries to degrade service for the others (a noisy neighbour). */
export const NEIGHBOUR_WORKSPACE = 'neighbour'

/** How the noisy neighbour tries to degrade service for the other workspaces. */
export const NEIGHBOURS = {
  none: 'none',
  /** Submits far more than its share of the capacity. */
  flood: 'flood',
  /** The evaluation of its policy fails at every submission. */
  throwingPolicy: 'throwing-policy',
  /** The evaluation of its policy costs about as much as is allowed. */
  costlyPolicy: 'costly-policy',
  /** Its jobs name a service that no endpoint offers. */
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

/** Creates the jobs of the noisy neighbour, at equal intervals and evenly over the entries. */
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

/** Sets the policy of the noisy neighbour, if its behaviour needs one. */
export const putNeighbourPolicy = async (cluster: Cluster, neighbour: Neighbour): Promise<void> => {
  const policy = POLICIES[neighbour]
  if (policy !== undefined) await cluster.putPolicy(NEIGHBOUR_WORKSPACE, policy)
}
