import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { createLogger, createMetrics, rendezvousScore, systemClock, TIME_BUCKETS_SECONDS } from '@hazellift/common'
import type { Metrics } from '@hazellift/common'
import { TaskHost } from '@hazellift/coordination'
import { ALL_ENTRIES } from '@hazellift/decisions'
import type { AgentSettings, TaskResult } from '@hazellift/protocol'
import { EntryDialer, KeepAliveMonitor, dialEntry } from '@hazellift/sessions'
import { ulid } from 'ulid'
import { AnnouncedEndpoint } from './endpoint/announcedEndpoint.js'
import { createAgentServer } from './http/createAgentServer.js'

/** A running agent. */
export interface RunningAgent {
  /** Host and port on which its HTTP server listens. */
  address: string
  /** Stops gracefully: running tasks finish and their results are delivered. */
  stop: () => Promise<void>
  /** Ends a graceful stop early by aborting running tasks; returns them as `workspace/submission/task`. */
  cut: () => string[]
}

const DRAIN_CHECK_INTERVAL_MS = 20
const SWEEP_INTERVAL_MS = 5000
/** Longest time that a stopping agent waits for entries to acknowledge its last results, in ms. */
const FINAL_ACK_WAIT_MS = 2000

const log = createLogger('agent')

const createObserver = ({ counter, histogram }: Metrics) => {
  const ends = counter({ name: 'hazellift_agent_task_ends_total', help: 'Ended starts', labels: ['outcome', 'reason'] })
  const seconds = histogram({ name: 'hazellift_agent_run_seconds', help: 'Time at the endpoint', buckets: TIME_BUCKETS_SECONDS })
  return ({ outcome, reason, runMs }: TaskResult): void => {
    ends.inc({ outcome, reason })
    if (runMs > 0) seconds.observe(runMs / 1000)
  }
}

const createHost = (settings: AgentSettings, metrics: Metrics) => {
  const endpoint = new AnnouncedEndpoint({
    clock: systemClock, host: () => host, announcementTimeoutMs: settings.endpointSilenceMs, maxAnswerBytes: settings.maxAnswerBytes
  })
  const host: TaskHost = new TaskHost({
    clock: systemClock,
    runAttempt: endpoint.run,
    standingCredits: settings.standingCredits,
    overflowQueue: settings.overflowQueue,
    startAgeMs: settings.startAgeMs,
    memoryMs: settings.memoryMs,
    maxAnswerSize: settings.answerMemoryBytes,
    onResult: createObserver(metrics)
  })
  metrics.gauge({ name: 'hazellift_agent_busy_tasks', help: 'Tasks that run or wait' }, (gauge) => gauge.set(host.busy))
  return { host, endpoint }
}

/** A session is suspected to be silent after this share of its timeout, which leaves time to open another one beside it. */
const SUSPECT_SHARE = 0.5

/** Creates the dialer. Slots are granted to each entry separately, so the agent keeps a session with every entry. */
const createDialer = (settings: AgentSettings, host: TaskHost): EntryDialer => {
  const { agentId, zone, clusterToken, keepAliveMs, sessionTimeoutMs: timeoutMs, seeds } = settings
  const times = { keepAliveMs, suspectMs: timeoutMs * SUSPECT_SHARE, timeoutMs }
  const keepAliveMonitor = new KeepAliveMonitor({ busy: times, idle: times })
  const options = { host, agentId, incarnation: ulid(), zone, clusterToken, keepAliveMonitor }
  return new EntryDialer({
    clock: systemClock,
    random: Math.random,
    zone,
    score: (address) => rendezvousScore(agentId, address),
    limits: ALL_ENTRIES,
    seeds,
    seedIntervalMs: 0,
    dial: (address, handle) => dialEntry(address, options, handle),
    onSilent: () => keepAliveMonitor.onSilent()
  })
}

const waitUntilIdle = async (host: TaskHost): Promise<void> => {
  while (host.busy > 0) await systemClock.sleep(DRAIN_CHECK_INTERVAL_MS)
}

const drain = async (host: TaskHost): Promise<void> => {
  // Waits until all entries know that this agent leaves: a start still in flight when it exits would be lost.
  while (host.busy > 0 || !host.isLeavingKnown) await systemClock.sleep(DRAIN_CHECK_INTERVAL_MS)
  const ackDeadline = systemClock.now() + FINAL_ACK_WAIT_MS
  while (host.unacked > 0 && systemClock.now() < ackDeadline) await systemClock.sleep(DRAIN_CHECK_INTERVAL_MS)
}

/**
 * Starts an agent: its HTTP server, and sessions with all entries.
 *
 * @param settings - checked settings
 * @returns the agent, once its server listens
 */
export const startAgent = async (settings: AgentSettings): Promise<RunningAgent> => {
  const metrics = createMetrics()
  const { host, endpoint } = createHost(settings, metrics)
  const dialer = createDialer(settings, host)
  const server = createAgentServer({ endpoint, registry: metrics.registry, isReady: () => endpoint.isPresent, waitUntilIdle: () => waitUntilIdle(host) })
  server.listen(settings.agentPort, settings.listenHost)
  await once(server, 'listening')
  const address = `${settings.listenHost}:${(server.address() as AddressInfo).port}`
  const sweep = setInterval(() => host.sweep(), SWEEP_INTERVAL_MS)
  dialer.start()
  log('listening', { agent: settings.agentId, address })
  return {
    address,
    stop: async () => {
      log('stopping', { agent: settings.agentId, busy: host.busy })
      host.leave()
      await drain(host)
      clearInterval(sweep)
      dialer.stop()
      server.close()
      server.closeAllConnections()
      log('stopped', { agent: settings.agentId })
    },
    cut: () => host.abortAll().map(({ workspace, submission, task }) => `${workspace}/${submission}/${task}`)
  }
}
