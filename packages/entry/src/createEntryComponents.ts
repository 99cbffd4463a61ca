import { createBackoff, createLogger, createMetrics, systemClock } from '@hazellift/common'
import type { Clock, Metrics } from '@hazellift/common'
import {
  Admission, ClaimStore, ConfigStore, ConfigWatch, Dispatcher, EntryAnnouncement, EntryDirectory, JOB_ORDERS, JobService, OwnedJobs, PICK_RULES
} from '@hazellift/coordination'
import type { DispatchEvents, JobOrder, PickRule } from '@hazellift/coordination'
import { GroupCommit, createHttpObjects, createHttpTable } from '@hazellift/store'
import type { StoreObserver } from '@hazellift/store'
import { REASONS } from '@hazellift/protocol'
import type { EntrySettings } from '@hazellift/protocol'
import { createSessions } from '@hazellift/sessions'
import type { Sessions } from '@hazellift/sessions'
import { ulid } from 'ulid'
import type { ApiContext } from './http/apiContext.js'
import { ClusterView } from './operations/clusterView.js'
import { countAgentFrame, countEntryFrame } from './operations/countMessages.js'
import { createEntryMetrics } from './operations/entryMetrics.js'
import type { EntryMetrics } from './operations/entryMetrics.js'
import { Readiness } from './operations/readiness.js'
import { ConfigPropagation } from './peers/configPropagation.js'
import { PeerClients } from './peers/peerClients.js'
import { createClaimSweeper } from './claimSweeper.js'

/** The components of an entry, connected to each other. */
export interface EntryComponents {
  clock: Clock
  /** Empty until the servers listen. */
  addresses: { api: string, session: string }
  directory: EntryDirectory
  announcement: EntryAnnouncement
  configWatch: ConfigWatch
  ownedJobs: OwnedJobs
  jobs: JobService
  sessions: Sessions
  readiness: Readiness
  clusterView: ClusterView
  apiContext: ApiContext
  /** Removes expired claim rows of the next page. */
  sweepClaims: () => Promise<void>
  /** Fails all open jobs when the grace time of a stop has passed; returns their keys. */
  failOpenJobs: () => string[]
}

const STORE_BACKOFF = { baseMs: 20, maxMs: 500 }
/** Backoff between probes of an ejected endpoint. Each probe of an endpoint that still fails costs a job. */
const EJECTION_BACKOFF = { baseMs: 5000, maxMs: 120_000 }
const COLLECT_TIMEOUT_MS = 2000
const SAVE_ANSWER_TIMEOUT_MS = 2000
const SWEEP_INTERVAL_MS = 10_000
/** Heartbeats within which agents learn of a new entry from other entries. */
const WARM_UP_HEARTBEATS = 3

const log = createLogger('entry')

const createStores = (settings: EntrySettings, metrics: EntryMetrics) => {
  const observe: StoreObserver = (call, outcome, ms) => {
    metrics.storeCalls.inc({ call, outcome })
    metrics.storeSeconds.observe({ call }, ms / 1000)
  }
  const options = { url: settings.platformUrl, timeoutMs: settings.storeTimeoutMs, observe }
  const table = createHttpTable(options)
  const backoff = createBackoff(STORE_BACKOFF, Math.random)
  const group = new GroupCommit({
    table, clock: systemClock, intervalMs: settings.commitIntervalMs, maxRows: settings.commitMaxRows, backoff
  })
  const configStore = new ConfigStore({ table, clock: systemClock, backoff, timeoutMs: settings.claimTimeoutMs })
  return { table, objects: createHttpObjects(options), group, configStore }
}

const createDispatchEvents = (metrics: EntryMetrics, owned: () => OwnedJobs): DispatchEvents => ({
  complete: (job) => owned().complete(job),
  failed: (job, reason, message) => owned().fail(job, reason, message),
  takenOver: (job) => owned().onMoved(job),
  started: (_job, waitedMs) => metrics.queueSeconds.observe(waitedMs / 1000),
  ended: (_job, { outcome, reason, runMs }) => {
    metrics.taskEnds.inc({ outcome, reason })
    if (runMs > 0) metrics.runSeconds.observe(runMs / 1000)
  },
  wasted: (reason) => metrics.wastedStarts.inc({ reason })
})

const createDispatcher = (settings: EntrySettings, events: DispatchEvents, admission: () => Admission, watch: () => ConfigWatch): Dispatcher => new Dispatcher({
  clock: systemClock,
  random: Math.random,
  zone: settings.zone,
  rule: PICK_RULES[settings.dispatchRule as keyof typeof PICK_RULES] satisfies PickRule,
  order: JOB_ORDERS[settings.jobOrder as keyof typeof JOB_ORDERS] satisfies JobOrder,
  events,
  weightOf: (workspace) => admission().weightOf(workspace),
  maxRunningOf: (workspace) => admission().maxRunningOf(workspace),
  resumeWindowMs: settings.resumeWindowMs,
  collectTimeoutMs: COLLECT_TIMEOUT_MS,
  maxEjectedShare: settings.setAsideShare,
  ejectionBackoff: createBackoff(EJECTION_BACKOFF, Math.random),
  isEvacuated: (zone) => watch().isEvacuated(zone),
  defer: queueMicrotask
})

const createOwnedJobs = (settings: EntrySettings, metrics: EntryMetrics, claims: ClaimStore, dispatcher: () => Dispatcher) => new OwnedJobs({
  clock: systemClock,
  now: systemClock.now,
  maxMs: settings.answerWindowMs,
  maxBytes: settings.answerWindowBytes,
  claims,
  dispatcher,
  saveTimeoutMs: SAVE_ANSWER_TIMEOUT_MS,
  onAnswer: (job, { state, reason, run }) => {
    metrics.jobs.inc({ state, reason })
    log('job_over', { workspace: job.workspace, job: job.id, state, reason, run, ms: Math.round(systemClock.now() - job.arrivedAt) })
  }
})

const createConfigWatch = (settings: EntrySettings, configStore: ConfigStore, onChange: () => void): ConfigWatch => new ConfigWatch({
  store: configStore,
  clock: systemClock,
  pollMs: settings.configPollMs,
  onChange,
  onBadPolicy: (workspace, faults) => log('policy_does_not_compile', { workspace, faults: faults.length, first: faults[0]?.message })
})

/** Identity of this entry; the addresses are empty until its servers listen. */
interface Identity {
  entryId: string
  incarnation: string
  addresses: { api: string, session: string }
}

/** Creates the components that hold state and take decisions: store, configuration, queues and claims. */
const createCore = (settings: EntrySettings, identity: Identity, base: Metrics, onEntries: () => void) => {
  const { entryId, incarnation, addresses } = identity
  const metrics = createEntryMetrics(base)
  const stores = createStores(settings, metrics)
  const { table, objects, group, configStore } = stores
  const watch = createConfigWatch(settings, configStore, () => dispatcher.scheduleAll())
  const directory = new EntryDirectory({
    table,
    group,
    clock: systemClock,
    self: () => ({ entryId, incarnation, apiAddress: addresses.api, sessionAddress: addresses.session }),
    heartbeatMs: settings.heartbeatMs,
    staleAfterMs: settings.staleAfterMs,
    rowRetentionMs: settings.answerWindowMs,
    configVersion: () => watch.version,
    onChange: onEntries
  })
  const dispatcher: Dispatcher = createDispatcher(settings, createDispatchEvents(metrics, () => owned), () => admission, () => watch)
  const claims = new ClaimStore({
    table, objects, group, clock: systemClock, entryId, incarnation, newNonce: ulid, rowAnswerBytes: settings.rowAnswerBytes
  })
  const owned = createOwnedJobs(settings, metrics, claims, () => dispatcher)
  const admission = new Admission({
    clock: systemClock,
    dispatcher,
    findConfig: (name) => watch.find(name),
    entryCount: () => directory.serving.length,
    maxQueued: settings.maxQueued
  })
  return { ...stores, metrics, watch, directory, dispatcher, claims, owned, admission }
}
type EntryCore = ReturnType<typeof createCore>

const createJobService = (settings: EntrySettings, { entryId, incarnation }: Identity, core: EntryCore, peers: PeerClients, announcement: EntryAnnouncement) => new JobService({
  ...core,
  clock: systemClock,
  peers,
  entryId,
  incarnation,
  claimTimeoutMs: settings.claimTimeoutMs,
  defaultDeadlineMs: settings.defaultDeadlineMs,
  leaseMs: settings.leaseMs,
  staleAfterMs: settings.staleAfterMs,
  answerWindowMs: settings.answerWindowMs,
  observeClaim: (outcome) => core.metrics.claims.inc({ outcome }),
  observeCancelRetry: (reason) => core.metrics.cancelRetries.inc({ reason }),
  isStoreUp: () => core.group.isUp,
  mayClaim: () => announcement.isDone
})

const addGauges = ({ gauge }: Metrics, { dispatcher, watch }: EntryCore): void => {
  gauge({ name: 'hazellift_queued_tasks', help: 'Tasks that wait here' }, (metric) => metric.set(dispatcher.queuedTotal))
  gauge({ name: 'hazellift_credits', help: 'Credits held' }, (metric) =>
    metric.set(dispatcher.knownAgents.reduce((sum, { credits }) => sum + credits, 0)))
  gauge({ name: 'hazellift_config_version', help: 'Configuration version in force' }, (metric) => metric.set(Number(watch.version)))
  gauge({ name: 'hazellift_evacuated_zones', help: 'Availability zones whose endpoints get no start' }, (metric) =>
    metric.set(watch.zones.filter(({ evacuated }) => evacuated).length))
}

const createClusterView = ({ entryId, incarnation, addresses }: Identity, core: EntryCore, peers: PeerClients, readiness: Readiness) => new ClusterView({
  entryId,
  incarnation,
  apiAddress: () => addresses.api,
  dispatcher: core.dispatcher,
  directory: core.directory,
  peers,
  configVersion: () => core.watch.version,
  isReady: () => readiness.isReady,
  jobs: () => core.owned.size
})

const failOpenJobs = (owned: OwnedJobs): string[] => {
  const keys = owned.openKeys
  for (const key of keys) owned.failByKey(key, REASONS.stopCut, 'the entry stopped before the job ended')
  return keys
}

/**
 * Creates the components of an entry and connects them; nothing runs or listens yet.
 *
 * @param settings - validated settings
 */
export const createEntryComponents = (settings: EntrySettings): EntryComponents => {
  const clock = systemClock
  const identity: Identity = { entryId: settings.entryId, incarnation: ulid(), addresses: { api: '', session: '' } }
  const base = createMetrics()
  const peers = new PeerClients(settings.clusterToken)
  const core = createCore(settings, identity, base, () => {
    sessions.broadcastEntries()
    peers.retainOnly(new Set(core.directory.live.map(({ sessionAddress }) => sessionAddress)))
  })
  const { directory, dispatcher, watch: configWatch, owned: ownedJobs, claims, metrics, configStore } = core
  const keepAliveTimes = { keepAliveMs: settings.keepAliveMs, timeoutMs: settings.sessionTimeoutMs }
  const sessions = createSessions({
    dispatcher,
    observe: {
      read: (frame) => countAgentFrame(metrics, frame),
      sent: (frame) => countEntryFrame(metrics, frame)
    },
    entryId: identity.entryId,
    incarnation: identity.incarnation,
    keepAlive: { busy: keepAliveTimes, idle: keepAliveTimes },
    entries: () => directory.serving.map(({ sessionAddress }) => ({ address: sessionAddress, zone: '' }))
  })
  const announcement = new EntryAnnouncement({ clock, directory, introduce: peers.introduce, visibleAfterMs: settings.staleAfterMs })
  const jobs = createJobService(settings, identity, core, peers, announcement)
  const readiness = new Readiness({ clock, watch: configWatch, dispatcher, directory, announcement, peers, warmUpMs: settings.heartbeatMs * WARM_UP_HEARTBEATS })
  const clusterView = createClusterView(identity, core, peers, readiness)
  const configPropagation = new ConfigPropagation({ clock, entryId: identity.entryId, watch: configWatch, directory, peers })
  addGauges(base, core)
  return {
    clock,
    addresses: identity.addresses,
    directory,
    announcement,
    configWatch,
    ownedJobs,
    jobs,
    sessions,
    readiness,
    clusterView,
    apiContext: { settings, jobs, configWatch, configStore, configPropagation, clusterView, metrics, registry: base.registry, isReady: () => readiness.isReady },
    sweepClaims: createClaimSweeper({ clock, claims, retentionMs: settings.claimRetentionMs, intervalMs: SWEEP_INTERVAL_MS }),
    failOpenJobs: () => failOpenJobs(ownedJobs)
  }
}
