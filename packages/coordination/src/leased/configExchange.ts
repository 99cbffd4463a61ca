import type { Clock } from '@hazellift/common'
import type { AgentFrame, EntryFrame } from '@hazellift/protocol'
import { ConfigCopy } from './configCopy.js'
import type { LeasedAgent } from './leasedAgent.js'

/** What the exchange needs. */
export interface ConfigExchangeOptions {
  clock: Pick<Clock, 'now'>
  /** Agents that this entry knows, with or without a session. */
  agents: () => Iterable<LeasedAgent>
  /** An agent's document is newer than the one in force here. */
  onNewer: (version: bigint, document: Uint8Array) => void
}

/**
 * Agents that keep this entry's document. With a copy to every agent, a change
 * takes 400 KB of an entry with 160 of them (counted, 2.5 KB packed); with three,
 * under 20 KB.
 */
const KEEPERS = 3
/** One copy at a time: with some 2 KB each, a change takes less than a tenth of a link of 2 Mbit/s. */
const SEND_PACE_MS = 100
/** The store's own watch is usually quicker than a peer; a document is asked for only where it is not, or is in doubt. */
const ASK_AFTER_MS = 300
/** Time for the answer, before another agent is asked. */
const ASK_PACE_MS = 250

/**
 * An entry's exchange of configuration documents with its agents: a few of them
 * keep the newest one for entries that cannot read the store, and an entry that
 * hears of a newer one than its own asks for it.
 *
 * Invariant: a document always leaves together with its own version, and at most
 * once to a session.
 */
export class ConfigExchange {
  private readonly copy = new ConfigCopy()
  private newest = 0n
  private newerSince = -Infinity
  private sentAt = -Infinity
  private lookedAt = -Infinity
  private askedAt = -Infinity
  private isOwnDoubted = false

  constructor (private readonly options: ConfigExchangeOptions) {}

  /** A document came into force here. */
  setConfig (version: bigint, document: Uint8Array): void {
    this.copy.update(version, document)
  }

  /** The store may hold a newer document than it showed this entry: agents that tell of one are asked at once. */
  setUnconfirmed (isDoubted: boolean): void {
    this.isOwnDoubted = isDoubted
  }

  /** An agent told what it holds, or gave its document. */
  onFrame (agent: LeasedAgent, { configVersion, config }: AgentFrame): void {
    agent.config.replicaVersion = configVersion
    if (config.length > 0 && this.copy.update(configVersion, config)) this.options.onNewer(configVersion, config)
    if (configVersion <= this.newest) return
    this.newest = configVersion
    this.newerSince = this.options.clock.now()
  }

  /** Fills in a frame as it leaves. */
  fillFrame ({ config }: LeasedAgent, frame: EntryFrame): void {
    frame.configVersion = this.copy.version
    frame.wantsConfig = config.isRequestDue
    config.isRequestDue = false
    if (!config.isDocumentDue) return
    config.isDocumentDue = false
    config.sentVersion = this.copy.version
    frame.config = this.copy.document
  }

  /** To be called a few tens of times a second. */
  sweep (now: number): void {
    if (this.copy.version > 0n && now - Math.max(this.sentAt, this.lookedAt) >= SEND_PACE_MS) this.sendToNext(now)
    const isWaited = this.copy.version === 0n || this.isOwnDoubted || now - this.newerSince >= ASK_AFTER_MS
    if (this.newest > this.copy.version && isWaited && now - this.askedAt >= ASK_PACE_MS) this.askNext(now)
  }

  private sendToNext (now: number): void {
    this.lookedAt = now
    const { version } = this.copy
    const keeper = this.keepers.find(({ config }) => config.replicaVersion < version && config.sentVersion < version)
    if (keeper === undefined) return
    this.sentAt = now
    keeper.config.isDocumentDue = true
    keeper.link!.add(() => {})
  }

  /** Asks the agent that was asked longest ago. */
  private askNext (now: number): void {
    const [holder] = this.connected
      .filter(({ config }) => config.replicaVersion > this.copy.version)
      .sort((a, b) => a.config.requestedAt - b.config.requestedAt)
    if (holder === undefined) return
    this.askedAt = now
    holder.config.requestedAt = now
    holder.config.isRequestDue = true
    holder.link!.add(() => {})
  }

  private get connected (): LeasedAgent[] {
    return [...this.options.agents()].filter(({ link, isLeaving }) => link !== undefined && !isLeaving)
  }

  /** The same agents for all entries that know them, so that few hold a copy. */
  private get keepers (): LeasedAgent[] {
    return this.connected.sort((a, b) => b.config.replicaScore - a.config.replicaScore).slice(0, KEEPERS)
  }
}
