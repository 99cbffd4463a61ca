import type { Clock } from '@hazellift/common'
import type { AgentFrame, EntryFrame } from '@hazellift/protocol'
import { ConfigCopy } from './configCopy.js'
import type { LeasedAgent } from './leasedAgent.js'

/** Dependencies of a ConfigExchange. */
export interface ConfigExchangeOptions {
  clock: Pick<Clock, 'now'>
  /** Agents that this entry knows, with or without a session. */
  agents: () => Iterable<LeasedAgent>
  /** Called when an agent sent a newer document than the one in force here. */
  onNewer: (version: bigint, document: Uint8Array) => void
}

/**
 * Number of agents that store this entry's document. With 2.5 KB a packed document,
 * sending a change to each of 160 agents takes an entry 400 KB; to three, under 20 KB.
 */
const REPLICA_COUNT = 3
/** Pause between documents to replicas: at about 2 KB each, a change takes less than a tenth of a 2 Mbit/s link. */
const SEND_INTERVAL_MS = 100
/**
 * Time for the store's watch to deliver a newer document, as it is usually faster than
 * an agent. An entry without a document, or with an unconfirmed one, does not wait.
 */
const REQUEST_DELAY_MS = 300
/** Time for an agent to answer a request, before the document is requested from another one. */
const REQUEST_INTERVAL_MS = 250

/**
 * An entry's exchange of configuration documents with its agents. A few agents, the
 * replicas, store the newest document for entries that cannot read the store, and an
 * entry that learns of a newer document than its own requests it from an agent.
 *
 * Invariant: a document is always sent with its own version, and at most once on a
 * session.
 */
export class ConfigExchange {
  private readonly copy = new ConfigCopy()
  /** Highest version that an agent has reported, and since when it is known. */
  private newestVersion = 0n
  private newestSince = -Infinity
  private sentAt = -Infinity
  private checkedAt = -Infinity
  private requestedAt = -Infinity
  private isOwnUnconfirmed = false

  constructor (private readonly options: ConfigExchangeOptions) {}

  /** Handles a document that came into force here. */
  setConfig (version: bigint, document: Uint8Array): void {
    this.copy.update(version, document)
  }

  /** Sets whether the store may hold a newer document than it returned: then one that agents report is requested at once. */
  setUnconfirmed (isUnconfirmed: boolean): void {
    this.isOwnUnconfirmed = isUnconfirmed
  }

  /** Handles the document version, and the document if there is one, in a frame from an agent. */
  onFrame (agent: LeasedAgent, { configVersion, config }: AgentFrame): void {
    agent.config.replicaVersion = configVersion
    if (config.length > 0 && this.copy.update(configVersion, config)) this.options.onNewer(configVersion, config)
    if (configVersion <= this.newestVersion) return
    this.newestVersion = configVersion
    this.newestSince = this.options.clock.now()
  }

  /** Adds the version, and a document or a request that is due, to a frame that is about to be sent. */
  fillFrame ({ config }: LeasedAgent, frame: EntryFrame): void {
    frame.configVersion = this.copy.version
    frame.wantsConfig = config.isRequestDue
    config.isRequestDue = false
    if (!config.isDocumentDue) return
    config.isDocumentDue = false
    config.sentVersion = this.copy.version
    frame.config = this.copy.document
  }

  /** Sends and requests documents that are due. To be called a few tens of times a second. */
  sweep (now: number): void {
    if (this.copy.version > 0n && now - Math.max(this.sentAt, this.checkedAt) >= SEND_INTERVAL_MS) this.sendToNextReplica(now)
    const isRequestAllowed = this.copy.version === 0n || this.isOwnUnconfirmed || now - this.newestSince >= REQUEST_DELAY_MS
    if (this.newestVersion > this.copy.version && isRequestAllowed && now - this.requestedAt >= REQUEST_INTERVAL_MS) this.requestFromNext(now)
  }

  private sendToNextReplica (now: number): void {
    this.checkedAt = now
    const { version } = this.copy
    const replica = this.replicas.find(({ config }) => config.replicaVersion < version && config.sentVersion < version)
    if (replica === undefined) return
    this.sentAt = now
    replica.config.isDocumentDue = true
    replica.link!.add(() => {})
  }

  /** Requests the document from the agent that was sent a request longest ago. */
  private requestFromNext (now: number): void {
    const [source] = this.connectedAgents
      .filter(({ config }) => config.replicaVersion > this.copy.version)
      .sort((a, b) => a.config.requestedAt - b.config.requestedAt)
    if (source === undefined) return
    this.requestedAt = now
    source.config.requestedAt = now
    source.config.isRequestDue = true
    source.link!.add(() => {})
  }

  private get connectedAgents (): LeasedAgent[] {
    return [...this.options.agents()].filter(({ link, isLeaving }) => link !== undefined && !isLeaving)
  }

  /** Agents that store this entry's document; the same for all entries that know the same agents, so that few hold a copy. */
  private get replicas (): LeasedAgent[] {
    return this.connectedAgents.sort((a, b) => b.config.replicaScore - a.config.replicaScore).slice(0, REPLICA_COUNT)
  }
}
