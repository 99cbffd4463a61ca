import { mkdtempSync, readFileSync, rmSync, existsSync } from 'node:fs'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createApiClient } from '@hazellift/entry'
import type { ApiClient } from '@hazellift/entry'
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import type { EndpointBehaviour } from '../endpoint/startEndpoint.js'
import type { PlatformFaults } from '../platform/faults.js'
import { startProgram } from './childProcess.js'
import type { Program } from './childProcess.js'
import { startRelay } from './relay.js'
import type { Relay } from './relay.js'

/** An agent and the endpoint beside it. */
export interface Worker {
  index: number
  agent: Program
  endpoint: Program
}

/** Size and settings of a {@link Cluster}. */
export interface ClusterOptions {
  entries: number
  workers: number
  service?: string
  slots?: number
  connections?: number
  zones?: string[]
  /** Additional flags of every entry. */
  entryArgs?: string[]
  /** Additional flags of every agent. */
  agentArgs?: string[]
  /** Log namespaces that entries and agents print; empty for none. */
  log?: string
  /** Created once the endpoints are connected; `florist` if unset. */
  workspaces?: ClusterWorkspace[]
  /** Places a relay in front of each entry's session port, the platform and each endpoint, so that tests can cut connections. */
  relays?: boolean
}

/** Whether an entry connects to the platform through the relay, if there is one. */
export interface EntryRoute {
  platform: 'relay' | 'direct'
}

/** Relays of a cluster; empty if it was started without them. */
export interface ClusterRelays {
  platform: Relay | undefined
  /** By index of the entry. */
  sessions: Relay[]
  /** By index of the worker. */
  endpoints: Relay[]
}

/** A workspace that is created when the cluster starts. */
export interface ClusterWorkspace {
  name: string
  body?: object
}

/** Admin token of every cluster. */
export const ADMIN_TOKEN = 'admin-token-for-trials'
const CLUSTER_TOKEN = 'cluster-token-for-trials'
const READY_TIMEOUT_MS = 30_000
const POLL_MS = 50
const CONFIG_WAIT_MS = 10_000
const DEFAULT_ZONES = ['zone-a', 'zone-b', 'zone-c']

const require = createRequire(import.meta.url)
const distOf = (name: string): string => dirname(require.resolve(`@hazellift/${name}`))
const moduleDir = dirname(fileURLToPath(import.meta.url))
const SCRIPTS = {
  entry: join(distOf('entry'), 'main.js'),
  agent: join(distOf('agent'), 'main.js'),
  platform: join(moduleDir, '..', 'platform', 'main.js'),
  endpoint: join(moduleDir, '..', 'endpoint', 'main.js')
}

/** Token of a workspace's callers in tests and measurements. */
export const callerToken = (workspace: string): string => `caller-token-of-${workspace}`

/** Token of a workspace's operators in tests and measurements. */
export const operatorToken = (workspace: string): string => `operator-token-of-${workspace}`

/** A whole deployment on loopback: platform, entries, agents and endpoints, each as a separate process. */
export class Cluster {
  readonly entries: Program[] = []
  readonly workers: Worker[] = []
  readonly relays: ClusterRelays = { platform: undefined, sessions: [], endpoints: [] }
  platform!: Program
  private readonly programs: Program[] = []
  private readonly recordDir = mkdtempSync(join(tmpdir(), 'hazellift-'))

  private constructor (private readonly options: ClusterOptions) {}

  /** Starts a cluster and waits until every entry knows every endpoint and all workspaces exist. */
  static async start (options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options)
    try {
      cluster.platform = await cluster.run('platform', SCRIPTS.platform, [])
      if (options.relays) cluster.relays.platform = await startRelay(cluster.platform.startupInfo['platform']!)
      for (let index = 0; index < options.entries; index++) cluster.entries.push(await cluster.startEntry(index))
      const indices = Array.from({ length: options.workers }, (_, index) => index)
      cluster.workers.push(...await Promise.all(indices.map((index) => cluster.startWorker(index))))
      await cluster.waitForEndpoints(options.workers)
      for (const workspace of options.workspaces ?? [{ name: 'florist' }]) await cluster.putWorkspace(workspace)
      return cluster
    } catch (err) {
      await cluster.stop()
      throw err
    }
  }

  /**
   * Starts an entry, or restarts it on the ports of its previous process.
   *
   * @param addresses - addresses of the previous process; free ports are used if unset
   * @param route - whether it connects to the platform through the relay, if there is one
   */
  async startEntry (index: number, addresses?: { api: string, session: string }, route: EntryRoute = { platform: 'relay' }): Promise<Program> {
    const { zones = DEFAULT_ZONES, entryArgs = [], log = 'hazellift:*' } = this.options
    const portOf = (address: string | undefined) => address?.split(':')[1] ?? '0'
    const relay = this.options.relays ? this.relays.sessions[index] ?? await startRelay() : undefined
    const advertised = relay === undefined ? [] : ['--advertise-session', relay.address]
    const platform = route.platform === 'relay' ? this.relays.platform?.address : undefined
    const program = await this.run(`entry-${index}`, SCRIPTS.entry, [
      'entry', '--entry-id', `entry-${index}`, '--zone', zones[index % zones.length]!,
      '--api-port', portOf(addresses?.api), '--session-port', portOf(addresses?.session),
      '--platform-url', `http://${platform ?? this.platform.startupInfo['platform']}`,
      '--cluster-token', CLUSTER_TOKEN, '--admin-token', ADMIN_TOKEN, '--log', log, ...advertised, ...entryArgs
    ])
    if (relay !== undefined) {
      relay.setTarget(program.startupInfo['session']!)
      this.relays.sessions[index] = relay
    }
    return program
  }

  /** Starts an agent that uses all running entries as seeds. */
  async startAgent (index: number, port = '0'): Promise<Program> {
    const { zones = DEFAULT_ZONES, agentArgs = [], log = 'hazellift:*' } = this.options
    const running = this.entries.map((entry, entryIndex) => ({ entry, relay: this.relays.sessions[entryIndex] }))
      .filter(({ entry }) => entry.isRunning())
    const seeds = running.map(({ entry, relay }) => relay?.address ?? entry.startupInfo['session']!).join()
    return this.run(`agent-${index}`, SCRIPTS.agent, [
      '--agent-id', `agent-${index}`, '--zone', zones[index % zones.length]!, '--agent-port', port,
      '--seeds', seeds, '--cluster-token', CLUSTER_TOKEN, '--log', log, ...agentArgs
    ])
  }

  /** Starts an endpoint that announces itself to an agent. */
  async startEndpoint (index: number, agent: Program): Promise<Program> {
    const { service = 'order-desk', slots = 8, connections = 64 } = this.options
    const relay = this.options.relays ? this.relays.endpoints[index] ?? await startRelay() : undefined
    const advertised = relay === undefined ? [] : ['--advertise', relay.address]
    const program = await this.run(`endpoint-${index}`, SCRIPTS.endpoint, [
      '--id', `endpoint-${index}`, '--agent-url', `http://${agent.startupInfo['agent']}`, '--service', service,
      '--slots', String(slots), '--connections', String(connections), '--record-file', this.recordFile(index), ...advertised
    ])
    if (relay !== undefined) {
      relay.setTarget(program.startupInfo['endpoint']!)
      this.relays.endpoints[index] = relay
    }
    return program
  }

  /** Client of one entry's API, with the token of a caller of `florist` by default. */
  api (index = 0, token = callerToken('florist')): ApiClient {
    return createApiClient({ url: this.apiUrl(index), token })
  }

  /** Base URL of an entry's API. */
  apiUrl (index = 0): string {
    return `http://${this.entries[index]!.startupInfo['api']}`
  }

  /** Sets faults of the stand-in platform. */
  async setPlatform (faults: Partial<PlatformFaults>): Promise<void> {
    await this.control(this.platform.startupInfo['platform']!, faults)
  }

  /** Sets the behaviour of a stand-in endpoint. */
  async setEndpoint (index: number, behaviour: Partial<EndpointBehaviour>): Promise<void> {
    await this.control(this.workers[index]!.endpoint.startupInfo['endpoint']!, behaviour)
  }

  /** Key of every task start at any endpoint, once per start, read from the files in which the endpoints record them. */
  startedKeys (): string[] {
    return Array.from({ length: this.options.workers }, (_, index) => this.startedKeysOf(index)).flat()
  }

  /** Key of every task start at one endpoint, once per start, read from its record file. */
  startedKeysOf (index: number): string[] {
    const file = this.recordFile(index)
    return existsSync(file) ? readFileSync(file, 'utf8').split('\n').filter((line) => line !== '') : []
  }

  /** Keys of the tasks that were started more than once, counted over all endpoints. */
  startedTwice (): string[] {
    const seen = new Set<string>()
    return this.startedKeys().filter((key) => seen.size === seen.add(key).size)
  }

  /** Waits until every running entry is ready and knows exactly this number of endpoints. */
  async waitForEndpoints (count: number): Promise<void> {
    await this.waitUntil(`${count} endpoints at every entry`, async () => {
      const running = this.entries.filter((entry) => entry.isRunning())
      const states = await Promise.all(running.map((entry) => this.isReadyWithEndpoints(entry.startupInfo['api']!, count)))
      return states.every(Boolean)
    })
  }

  /**
   * Polls a condition until it holds.
   *
   * @param description - names the condition in the error
   * @throws Error with recent logs if the condition does not hold within `timeoutMs`
   */
  async waitUntil (description: string, condition: () => Promise<boolean> | boolean, timeoutMs = READY_TIMEOUT_MS): Promise<void> {
    const deadline = Date.now() + timeoutMs
    while (!await condition()) {
      if (Date.now() > deadline) throw new Error(`timed out after ${timeoutMs} ms waiting for ${description}\n${this.recentLogs()}`)
      await sleep(POLL_MS)
    }
  }

  /** Kills every process of this cluster, closes the relays and removes the record files. */
  async stop (): Promise<void> {
    for (const program of this.programs) {
      if (!program.isRunning()) continue
      program.kill('SIGCONT')
      program.kill('SIGKILL')
    }
    await Promise.all(this.programs.map(({ exited }) => exited))
    const { platform, sessions, endpoints } = this.relays
    for (const relay of [...sessions, ...endpoints, ...(platform === undefined ? [] : [platform])]) relay.close()
    rmSync(this.recordDir, { recursive: true, force: true })
  }

  /** Creates a workspace with a token for callers and one for operators. */
  async putWorkspace ({ name, body = {} }: ClusterWorkspace): Promise<void> {
    const tokens = [
      { name: 'caller', role: 'caller', token: callerToken(name) },
      { name: 'operator', role: 'operator', token: operatorToken(name) }
    ]
    await this.put(ADMIN_TOKEN, `/v1/workspaces/${name}`, { tokens, ...body })
  }

  /** Sets a workspace's policy; resolves once it is in force at every entry. */
  async putPolicy (workspace: string, policy: Record<string, string>): Promise<void> {
    await this.put(operatorToken(workspace), `/v1/workspaces/${workspace}/policy`, policy)
  }

  /** Changes the configuration; resolves once the change is in force at every entry, or rejects with the refusal. */
  private async put (token: string, path: string, body: object): Promise<void> {
    const res = await this.api(0, token).send({ method: 'PUT', path: `${path}?waitMs=${CONFIG_WAIT_MS}`, body: JSON.stringify(body) })
    if (!res.ok) throw new Error(`cannot put ${path}: ${JSON.stringify(res.err, (_, value) => typeof value === 'bigint' ? String(value) : value)}`)
  }

  private async startWorker (index: number): Promise<Worker> {
    const agent = await this.startAgent(index)
    return { index, agent, endpoint: await this.startEndpoint(index, agent) }
  }

  private async run (name: string, script: string, args: string[]): Promise<Program> {
    const program = await startProgram({ name, script, args })
    this.programs.push(program)
    return program
  }

  private async control (address: string, body: object): Promise<void> {
    const res = await request(`http://${address}/control`, { method: 'PUT', body: JSON.stringify(body) })
    await res.body.dump()
  }

  private async isReadyWithEndpoints (api: string, count: number): Promise<boolean> {
    const ready = await request(`http://${api}/readyz`)
    await ready.body.dump()
    const res = await request(`http://${api}/v1/status`, { headers: { authorization: `Bearer ${ADMIN_TOKEN}` } })
    const status = await res.body.json() as { entries: { endpoints: { service: string }[] }[] }
    const endpoints = status.entries[0]?.endpoints.filter(({ service }) => service !== '') ?? []
    return ready.statusCode === 200 && endpoints.length === count
  }

  private recordFile (index: number): string {
    return join(this.recordDir, `endpoint-${index}.txt`)
  }

  /** The latest log lines of every program. */
  recentLogs (): string {
    return this.programs.map((program) => `--- ${program.name}\n${program.logLines().slice(-15).join('\n')}`).join('\n')
  }
}
