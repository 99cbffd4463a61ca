// A small deployment on loopback addresses: the programs of deploy/system.toml as processes
// of their own, with the project's stand-ins of the store and of the executors.
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { appendFileSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { EndpointStandIn, StoreStandIn } from '../target/review-2/standIns.mjs'

export { sleep }

const HEARTBEAT_MS = 1500
/** Longest time of a case; it ends with 2 then. */
const MAX_MS = 100_000
const SERVICE = 'huvo11a'
export const QUEUE = { name: 'q0', host: 'nony24.example', prefix: '/lohu930/', priority: 0, service: SERVICE, attempts: 3, stretch: 1.6, targetLatencyMs: 1500 }
const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
/** The bounds of the site hranicne-polia, as far as this deployment needs them. */
export const BOUNDS = {
  seedLagS: 3, reuseAfterS: 2, stabilityMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, recoveryS: 12, holdMaxMs: 1000, stopMs: 50, cancel_ms: 3000, visible_ms: 3000, finish_s: 14, status_s: 120, leaseMs: 3000, resendMs: 1300
}

/** Words of the deploy file's command for a role. */
const commandOf = (role) => {
  const text = readFileSync('deploy/system.toml', 'utf8')
  return new RegExp(`\\[roles\\.${role}\\][^[]*?run = "([^"]+)"`).exec(text)[1].split(' ')
}

const isFree = async (host, port) => {
  const server = createServer().listen(port, host)
  try {
    await once(server, 'listening')
    server.close()
    await once(server, 'close')
    return true
  } catch {
    return false
  }
}

/** A range 127.N.*.* in which the ports that the roles use are free. */
const freeNetwork = async () => {
  for (let tries = 0; tries < 100; tries++) {
    const number = 20 + Math.floor(Math.random() * 200)
    const free = await Promise.all([1, 2].flatMap((subnet) => [7720, 8161, 8166, 8167, 9100].map((port) => isFree(`127.${number}.${subnet}.1`, port))))
    if (free.every(Boolean)) return number
  }
  throw new Error('no range of loopback addresses is free')
}

/** Starts the deployment's processes, sends requests to it, and records what is seen. */
export class SmallDeployment {
  entries = []
  agents = []
  executors = []
  /** All runs: task, executor, spec, times in ms since the start, and how they ended. */
  runs = []
  version = 0
  startedAt = performance.now()
  directory = mkdtempSync(join(tmpdir(), 'review-2-'))

  constructor (recordPath) {
    this.recordPath = recordPath
    writeFileSync(recordPath, '')
  }

  get now () {
    return Math.round(performance.now() - this.startedAt)
  }

  record (text) {
    appendFileSync(this.recordPath, `${String(this.now).padStart(6)} ms  ${text}\n`)
  }

  /** Starts the store, entries in one zone each, and agents with an executor each. */
  async start ({ entries, agents, capacity }) {
    this.network = await freeNetwork()
    this.store = await StoreStandIn.start()
    this.putConfig([QUEUE])
    for (let index = 0; index < entries; index++) this.startEntry(index)
    for (let index = 0; index < agents; index++) await this.startAgent(index, capacity)
    await this.waitUntilServing()
  }

  putConfig (routes) {
    this.store.put('op', 'config', { version: ++this.version, routes, services: [{ name: SERVICE, maxConns: 64 }], limits: LIMITS })
    this.record(`operator: configuration ${this.version} is acknowledged, routes ${routes.map(({ prefix }) => prefix).join()}`)
  }

  startEntry (index) {
    const ip = `127.${this.network}.1.${index + 1}`
    const lines = [`listen.front=${ip}:8161`, `listen.ready=${ip}:8167`, `listen.control=${ip}:8166`]
    const process = this.startRole('entry', `edge-${index}`, ip, `zone-${index}`, lines)
    this.entries.push({ process, ip, front: `${ip}:8161`, ready: `${ip}:8167` })
  }

  async startAgent (index, capacity) {
    const ip = `127.${this.network}.2.${index + 1}`
    const control = `${ip}:8166`
    const process = this.startRole('agent', `side-${index}`, ip, `zone-${index % 3}`, [`listen.control=${control}`])
    this.agents.push({ process, ip })
    const executor = await EndpointStandIn.start(`i-${index}`, SERVICE, { began: (run) => this.onBegan(run), ended: (run, how) => this.onEnded(run, how) })
    executor.bornMs = undefined
    executor.capacity = { cpu: 4000, memMb: 8192, gpu: 0, ...capacity }
    this.executors.push(executor)
    const beat = () => executor.heartbeat(control).then(() => true, () => false)
    void this.firstBeat(beat)
    executor.beats = setInterval(beat, HEARTBEAT_MS)
  }

  async firstBeat (beat) {
    while (!await beat()) await sleep(100)
  }

  startRole (role, name, ip, zone, lines) {
    const settings = [
      `nodeName=${name}`, `role=${role}`, `ip=${ip}`, `zone=${zone}`, 'region=west', 'zones.zone-0=west', 'zones.zone-1=west', 'zones.zone-2=west', 'portRange=7720,7735',
      `seeds=127.${this.network}.1.1:8166`, `heartbeatMs=${HEARTBEAT_MS}`, 'orders=invoke', `platform.address=${this.store.server.address}`, 'platform.form=table',
      ...Object.entries(BOUNDS).map(([key, value]) => `bounds.${key}=${value}`), ...lines
    ]
    const path = join(this.directory, `${name}.conf`)
    writeFileSync(path, settings.join('\n'))
    const log = openSync(join(this.directory, `${name}.log`), 'a')
    const [program, ...words] = commandOf(role)
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, words, { env: { PATH, HOME, LANG, HAZELLIFT_CONFIG: path }, stdio: ['ignore', log, log] })
    child.on('exit', (code, signal) => { if (!this.isStopping) this.record(`process ${name}: ended with ${code ?? signal}`) })
    return child
  }

  async waitUntilServing () {
    for (let tries = 0; tries < 200; tries++) {
      const statuses = await Promise.all(this.entries.map(({ ready }) => this.call(`http://${ready}/-/readyz`, 'GET').then(({ status }) => status, () => 0)))
      if (statuses.every((status) => status === 200)) return sleep(1500)
      await sleep(100)
    }
    throw new Error('the entries were not ready within 20 s')
  }

  onBegan ({ task, run, endpoint, spec }) {
    this.runs.push({ task, run, endpoint, spec, beganAt: this.now, endedAt: Infinity, how: '' })
    this.record(`executor ${endpoint}: task ${task} begins (run ${run})`)
  }

  onEnded ({ task, run, endpoint }, how) {
    const seen = this.runs.findLast((other) => other.task === task && other.run === run && other.endpoint === endpoint)
    Object.assign(seen, { endedAt: this.now, how })
    this.record(`executor ${endpoint}: task ${task} ends ${how}`)
  }

  /** Sends one request on a connection of its own; resolves with status and body, rejects if the connection breaks. */
  call (url, method, { body, headers = {}, signal } = {}) {
    return new Promise((resolve, reject) => {
      const req = request(url, { method, agent: false, signal, headers: { host: QUEUE.host, 'content-type': 'application/json', ...headers } }, (res) => {
        let text = ''
        res.setEncoding('utf8').on('data', (part) => { text += part }).on('end', () => resolve({ status: res.statusCode, text })).on('error', reject)
      })
      req.on('error', reject).end(body)
    })
  }

  /** Sends a client's request to an entry and records it with its answer. */
  async client (name, entry, method, id, options = {}) {
    this.record(`${name}: ${method} ${QUEUE.prefix}${id} to edge-${this.entries.indexOf(entry)}`)
    try {
      const answer = await this.call(`http://${entry.front}${QUEUE.prefix}${id}`, method, options)
      this.record(`${name}: ${method} ${id} is answered ${answer.status} ${answer.text}`)
      return { ...answer, at: this.now }
    } catch (err) {
      this.record(`${name}: ${method} ${id} has no answer (${err.message})`)
      return { status: 0, text: '', at: this.now }
    }
  }

  /** Ends all processes and stand-ins. */
  async stop () {
    this.isStopping = true
    const children = [...this.entries, ...this.agents].map(({ process }) => process).filter(({ exitCode, signalCode }) => exitCode === null && signalCode === null)
    for (const child of children) {
      const ended = once(child, 'exit')
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      await ended
    }
    for (const executor of this.executors) {
      clearInterval(executor.beats)
      executor.server.close()
    }
    this.store?.server.close()
    if (process.env.KEEP_LOGS === undefined) rmSync(this.directory, { recursive: true })
    else console.log(this.directory)
  }
}

/** A job's body with `count` tasks that run for `ms`, and a client's waiting time. */
export const jobOf = (ms, { count = 1, cpu = 1000, waitMs = 20_000 } = {}) => ({
  body: JSON.stringify({ spec: JSON.stringify({ ms }), steps: [{ count, cpu, memMb: 64, estimateMs: ms }], bestEffort: true }),
  headers: { 'hazellift-deadline-ms': String(waitMs) }
})

/** Four other clients each send a small job to an entry; returns the promises of their answers. */
export const sendOthers = (deployment, entry) => [1, 2, 3, 4].map((number) =>
  deployment.client(`client ${number}`, entry, 'POST', `${number}`.padStart(16, '0'), jobOf(100, { cpu: 500 })))

/**
 * Runs a case, and ends this process with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param play - plays the case; resolves with what breaks the rule, as texts
 */
export const runCase = async (folder, size, play) => {
  mkdirSync(folder, { recursive: true })
  const deployment = new SmallDeployment(join(folder, 'record.txt'))
  const isTroubled = process.env.TROUBLE !== '0'
  let code = 2
  const end = async () => {
    await deployment.stop()
    process.exit(code)
  }
  setTimeout(() => {
    deployment.record(`the case could not run: it takes longer than ${MAX_MS} ms`)
    code = 2
    void end()
  }, MAX_MS)
  try {
    await deployment.start(size)
    const broken = await play(deployment, isTroubled)
    for (const text of broken) deployment.record(`BROKEN: ${text}`)
    deployment.record(broken.length > 0 ? 'the rule was broken' : 'the rule held')
    code = broken.length > 0 ? 1 : 0
  } catch (err) {
    deployment.record(`the case could not run: ${err.stack}`)
  }
  await end()
}
