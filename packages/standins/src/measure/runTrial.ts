import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { Cluster } from '../cluster/cluster.js'
import { createLoad } from './createLoad.js'
import { NEIGHBOUR_WORKSPACE, NEIGHBOURS, putNeighbourPolicy } from './neighbours.js'
import { createReport } from './report.js'
import type { Counts } from './report.js'
import { scrape } from './scrape.js'
import { sendLoad } from './sendLoad.js'
import { TRIAL_FAULTS } from './types.js'
import type { LoadOptions, TrialFault, TrialReport } from './types.js'

/** One trial. */
export interface TrialOptions extends Omit<LoadOptions, 'slots'> {
  rule: string
  fault: TrialFault
  workers: number
  slotsPerWorker: number
  connections: number
  entryArgs: string[]
  agentArgs: string[]
}

/** A baseline pushes without credits, so its agents queue. */
const BASELINE_AGENT_ARGS = ['--overflow-queue', '100000', '--standing-credits', '0']
const WARM_UP = { seconds: 2, share: 0.3, seed: 7 }
const OUTAGE_MS = 3000
const STRAGGLER_SLOWNESS = 5

const collectCounts = async (cluster: Cluster): Promise<Counts> => {
  const res = await request(`http://${cluster.platform.startupInfo['platform']}/counts`)
  const running = cluster.entries.filter((entry) => entry.isRunning())
  const workers = cluster.workers.filter(({ agent }) => agent.isRunning())
  return {
    entries: await Promise.all(running.map(({ startupInfo: facts }) => scrape(facts['api']!))),
    agents: await Promise.all(workers.map(({ agent }) => scrape(agent.startupInfo['agent']!))),
    store: await res.body.json() as Counts['store']
  }
}

/** Causes the trial's fault a third into the load. */
const injectFault = async (cluster: Cluster, fault: TrialFault, seconds: number): Promise<void> => {
  await sleep(seconds * 1000 / 3)
  switch (fault) {
    case TRIAL_FAULTS.none: return
    case TRIAL_FAULTS.failingEndpoint: return cluster.setEndpoint(0, { mode: 'fail' })
    case TRIAL_FAULTS.straggler: return cluster.setEndpoint(0, { slowness: STRAGGLER_SLOWNESS })
    case TRIAL_FAULTS.deadEntry: return cluster.entries[0]!.kill('SIGKILL')
    case TRIAL_FAULTS.deadWorker:
      cluster.workers[0]!.agent.kill('SIGKILL')
      return cluster.workers[0]!.endpoint.kill('SIGKILL')
    case TRIAL_FAULTS.tableDown:
      await cluster.setPlatform({ mode: 'refuse' })
      await sleep(OUTAGE_MS)
      return cluster.setPlatform({ mode: 'ok' })
  }
}

const startCluster = (options: TrialOptions): Promise<Cluster> => Cluster.start({
  entries: options.entries,
  workers: options.workers,
  slots: options.slotsPerWorker,
  connections: options.connections,
  log: '',
  entryArgs: ['--dispatch-rule', options.rule, ...options.entryArgs],
  agentArgs: [...(options.rule === 'credits' ? [] : BASELINE_AGENT_ARGS), ...options.agentArgs],
  workspaces: [...Array.from({ length: options.workspaces }, (_, n) => ({ name: `workspace-${n}` })), { name: 'bursty' }, { name: NEIGHBOUR_WORKSPACE }]
})

/**
 * Starts a deployment, loads it, and tells what was measured. Everything is
 * stopped at the end.
 *
 * @param options - deployment, load and fault
 */
export const runTrial = async (options: TrialOptions): Promise<TrialReport> => {
  const slots = options.workers * options.slotsPerWorker
  const cluster = await startCluster(options)
  try {
    const load = createLoad({ ...options, slots })
    const warmUp = createLoad({ ...options, ...WARM_UP, slots, burst: 0, neighbour: NEIGHBOURS.none }).map((job) => ({ ...job, id: `warm-up-${job.id}` }))
    await sendLoad(warmUp, (entry) => cluster.apiUrl(entry))
    await putNeighbourPolicy(cluster, options.neighbour)
    const before = await collectCounts(cluster)
    const startedAt = performance.now()
    const [outcomes] = await Promise.all([
      sendLoad(load, (entry) => cluster.apiUrl(entry)),
      injectFault(cluster, options.fault, options.seconds)
    ])
    const seconds = (performance.now() - startedAt) / 1000
    const { rule, share, fault } = options
    const duplicates = cluster.startedTwice()
    if (duplicates.length > 0) throw new Error(`tasks that started twice: ${duplicates.slice(0, 5).join(', ')}`)
    return createReport({ rule, share, fault }, outcomes, before, await collectCounts(cluster), seconds, slots)
  } finally {
    await cluster.stop()
  }
}
