#!/usr/bin/env node
import { setTimeout as sleep } from 'node:timers/promises'
import Table from 'cli-table3'
import { Command } from 'commander'
import { request } from 'undici'
import { Cluster } from '../cluster/cluster.js'
import type { ClusterOptions } from '../cluster/cluster.js'
import { scrape, total } from './scrape.js'
import type { Scrape } from './scrape.js'
import { sendLoad } from './sendLoad.js'
import type { LoadJob } from './types.js'

/** What a deployment spent over a while. */
interface ResourceUsage {
  name: string
  tasksPerSecond: number
  entryCoreShare: number
  agentCoreShare: number
  entryMb: number
  agentMb: number
  framesPerSecond: number
  /** On all connections to the entries' session ports, by agent; 0 without relays. */
  bytesPerSecondPerAgent: number
  readsPerSecond: number
  writesPerSecond: number
}

interface Snapshot {
  entries: Scrape[]
  agents: Scrape[]
  reads: number
  writes: number
  bytes: number
}

/** What runs while the spending is measured. */
type Workload = (cluster: Cluster) => Promise<number>

const IDLE_MS = 8000
const TASKS_PER_JOB = 100
const CONCURRENT_JOBS = 24
const TASK_MS = 20
const BUSY_MS = 6000

const snapshot = async (cluster: Cluster): Promise<Snapshot> => {
  const res = await request(`http://${cluster.platform.startupInfo['platform']}/counts`)
  const { reads, writes } = await res.body.json() as { reads: number, writes: number }
  const entries = await Promise.all(cluster.entries.map(({ startupInfo: facts }) => scrape(facts['api']!)))
  const agents = await Promise.all(cluster.workers.map(({ agent }) => scrape(agent.startupInfo['agent']!)))
  const bytes = cluster.relays.sessions.reduce((sum, relay) => sum + relay.bytes(), 0)
  return { entries, agents, reads, writes, bytes }
}

const mean = (scrapes: Scrape[], metric: string): number =>
  scrapes.reduce((sum, each) => sum + total(each, metric), 0) / scrapes.length

const idle: Workload = async () => {
  await sleep(IDLE_MS)
  return 0
}

const createJob = (round: number, sender: number, entry: number): LoadJob => ({
  id: `slope-${round}-${sender}`,
  workspace: 'workspace-0',
  atMs: 0,
  taskMs: Array<number>(TASKS_PER_JOB).fill(TASK_MS),
  declaredMs: Array<number>(TASKS_PER_JOB).fill(TASK_MS),
  unrepeatable: false,
  entry
})

/** Keeps as many jobs open as it takes to fill the slots; gives the tasks done. */
const saturate: Workload = async (cluster) => {
  const endsAt = Date.now() + BUSY_MS
  let tasks = 0
  const sendJobs = async (sender: number): Promise<void> => {
    for (let round = 0; Date.now() < endsAt; round++) {
      const job = createJob(round, sender, sender % cluster.entries.length)
      const [outcome] = await sendLoad([job], (entry) => cluster.apiUrl(entry))
      if (outcome?.outcome === 'complete') tasks += TASKS_PER_JOB
    }
  }
  await Promise.all(Array.from({ length: CONCURRENT_JOBS }, (_, index) => sendJobs(index)))
  return tasks
}

const measureUsage = async (name: string, options: ClusterOptions, workload: Workload): Promise<ResourceUsage> => {
  const cluster = await Cluster.start({ log: '', workspaces: [{ name: 'workspace-0' }], ...options })
  try {
    await sleep(1000)
    const before = await snapshot(cluster)
    const startedAt = performance.now()
    const tasks = await workload(cluster)
    const seconds = (performance.now() - startedAt) / 1000
    const after = await snapshot(cluster)
    const increasePerSecond = (kind: 'entries' | 'agents', metric: string) => (mean(after[kind], metric) - mean(before[kind], metric)) / seconds
    return {
      name,
      tasksPerSecond: tasks / seconds,
      entryCoreShare: increasePerSecond('entries', 'process_cpu_seconds_total'),
      agentCoreShare: increasePerSecond('agents', 'process_cpu_seconds_total'),
      entryMb: mean(after.entries, 'process_resident_memory_bytes') / 1e6,
      agentMb: mean(after.agents, 'process_resident_memory_bytes') / 1e6,
      framesPerSecond: increasePerSecond('entries', 'hazellift_frames_total'),
      bytesPerSecondPerAgent: (after.bytes - before.bytes) / seconds / cluster.workers.length,
      readsPerSecond: (after.reads - before.reads) / seconds,
      writesPerSecond: (after.writes - before.writes) / seconds
    }
  } finally {
    await cluster.stop()
  }
}

const createWorkspaces = (count: number) => Array.from({ length: count }, (_, index) => ({ name: `workspace-${index}` }))

const TRIALS: [string, ClusterOptions, Workload][] = [
  ...[4, 11, 22].map((workers): [string, ClusterOptions, Workload] => [`idle, 3 entries, ${workers} agents`, { entries: 3, workers }, idle]),
  ...[1, 6].map((entries): [string, ClusterOptions, Workload] => [`idle, ${entries} entries, 11 agents`, { entries, workers: 11 }, idle]),
  ...[1, 50, 200].map((count): [string, ClusterOptions, Workload] =>
    [`idle, ${count} workspaces`, { entries: 1, workers: 2, workspaces: createWorkspaces(count) }, idle]),
  ...[2, 4, 8].map((slots): [string, ClusterOptions, Workload] =>
    [`full, 1 entry, 11 agents of ${slots} slots, tasks of ${TASK_MS} ms`, { entries: 1, workers: 11, slots }, saturate]),
  ['full, 1 entry, 11 agents of 32 slots', { entries: 1, workers: 11, slots: 32 }, saturate],
  ['idle, 3 entries, 4 agents, relayed', { entries: 3, workers: 4, relays: true }, idle],
  ['full, 1 entry, 4 agents of 8 slots, relayed', { entries: 1, workers: 4, relays: true }, saturate]
]

const { only } = new Command('slopes')
  .description('Measures what entries and agents spend, idle and at work, against their numbers.')
  .option('--only <text>', 'run the trials whose name holds this', '')
  .parse().opts<{ only: string }>()

const table = new Table({
  head: ['trial', 'tasks/s', 'entry core', 'agent core', 'entry MB', 'agent MB', 'frames/s an entry', 'bytes/s an agent', 'reads/s', 'writes/s'],
  style: { head: [], border: [] }
})
for (const [name, options, work] of TRIALS.filter(([name]) => name.includes(only))) {
  const s = await measureUsage(name, options, work)
  table.push([s.name, s.tasksPerSecond.toFixed(0), s.entryCoreShare.toFixed(4), s.agentCoreShare.toFixed(4), s.entryMb.toFixed(0),
    s.agentMb.toFixed(0), s.framesPerSecond.toFixed(1), s.bytesPerSecondPerAgent.toFixed(0), s.readsPerSecond.toFixed(1), s.writesPerSecond.toFixed(1)])
}
process.stdout.write(`${table.toString()}\n`)
