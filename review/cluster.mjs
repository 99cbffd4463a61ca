// Starts the project's programs with the commands of the deploy file, against stand-ins on loopback addresses.
import { spawn } from 'node:child_process'
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, appendFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { once } from 'node:events'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'
import { Executor } from './executor.mjs'
import { Store } from './store.mjs'

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '..')
const SESSION_PORT = 7720
const FRONT_PORT = 8161
const READY_PORT = 8167
const CONTROL_PORT = 8166
const HEARTBEAT_MS = 1500
const RESTART_DELAY_MS = 300
const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  stabilityMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxStretchMs: 5000,
  recoveryS: 12,
  holdMaxMs: 1000,
  stopMs: 50,
  cancel_ms: 3000,
  visible_ms: 3000,
  finish_s: 14,
  status_s: 120,
  resendMs: 1300
}
export const HOST = 'review.example'
export const PREFIX = '/jobs/'
export const SERVICE = 'svc'
const ROUTE = { name: 'r', host: HOST, prefix: PREFIX, priority: 0, service: SERVICE, attempts: 3, stretch: 1.6, targetLatencyMs: 1500 }
const LIMITS = { maxHeaderBytes: 8000, maxBodyBytes: 64_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }

/** Words of the command that runs a role, from the deploy file. */
const commandOf = (role) => {
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const section = deploy.slice(deploy.indexOf(`[roles.${role}]`))
  return /^run = "(.*)"$/m.exec(section)[1].split(' ')
}

const isFree = async (ip, port) => {
  const server = createServer()
  server.listen(port, ip)
  const isListening = await once(server, 'listening').then(() => true, () => false)
  server.close()
  return isListening
}

/** Second octet of a loopback network whose ports are free. */
const findNetwork = async () => {
  for (let tries = 0; tries < 50; tries++) {
    const octet = 20 + Math.floor(Math.random() * 200)
    if (await isFree(`127.${octet}.1.1`, FRONT_PORT) && await isFree(`127.${octet}.2.1`, CONTROL_PORT)) return octet
  }
  process.exit(2)
}

/** Processes that run; they end with the script, however that ends. */
const running = new Set()
process.on('exit', () => { for (const child of running) child.kill('SIGKILL') })
/** A script that has not ended by then could not run; the limit is 120 s. */
setTimeout(() => process.exit(2), 110_000).unref()
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => process.exit(2))
for (const event of ['uncaughtException', 'unhandledRejection']) {
  process.on(event, (err) => {
    console.error(err)
    process.exit(2)
  })
}

/** One process of a role; restarted after it ended, as the platform does. */
class RoleProcess {
  /** Ends that no signal of the test caused. */
  ownEnds = 0
  isStopped = false
  expectsEnd = false

  constructor (role, name, settings, directory) {
    Object.assign(this, { role, name, path: join(directory, `${name}.conf`), log: join(directory, `${name}.log`) })
    writeFileSync(this.path, settings)
  }

  start () {
    const [program, ...words] = commandOf(this.role)
    const out = openSync(this.log, 'a')
    this.expectsEnd = false
    this.child = spawn(join(ROOT, program), words, { cwd: ROOT, stdio: ['ignore', out, out], env: { PATH: process.env.PATH, HOME: process.env.HOME, HAZELLIFT_CONFIG: this.path } })
    const { child } = this
    running.add(child)
    child.once('exit', () => {
      running.delete(child)
      void this.onExit()
    })
  }

  signal (signal) {
    if (signal === 'SIGTERM' || signal === 'SIGKILL') this.expectsEnd = true
    this.child.kill(signal)
  }

  async onExit () {
    if (!this.expectsEnd && !this.isStopped) this.ownEnds++
    await sleep(RESTART_DELAY_MS)
    if (!this.isStopped) this.start()
  }

  async stop () {
    this.isStopped = true
    const { child } = this
    if (child.exitCode !== null || child.signalCode !== null) return
    const exited = once(child, 'exit')
    child.kill('SIGKILL')
    await exited
  }
}

/** A small deployment: entries, and agents beside executors. */
export class Cluster {
  entries = []
  workers = []
  events = []
  directory = mkdtempSync(join(tmpdir(), 'review-'))
  removeDirectory = () => rmSync(this.directory, { recursive: true, force: true })
  startedAt = performance.now()

  static async start ({ entries, workers, capacity, recordPath }) {
    const cluster = new Cluster()
    cluster.recordPath = recordPath
    process.on('exit', cluster.removeDirectory)
    writeFileSync(recordPath, '')
    cluster.octet = await findNetwork()
    cluster.store = await Store.start(cluster.ip(0, 0))
    cluster.putConfig(1, [ROUTE])
    for (let index = 0; index < entries; index++) await cluster.addEntry(index)
    for (let index = 0; index < workers; index++) await cluster.addWorker(index, capacity)
    return cluster
  }

  putConfig (version, routes) {
    return this.store.put('op', 'config', { version, routes, services: [{ name: SERVICE, enforcesCapacity: false }], limits: LIMITS })
  }

  ip (subnet, index) {
    return `127.${this.octet}.${subnet}.${index + 1}`
  }

  /** Ms since the start. */
  get now () {
    return performance.now() - this.startedAt
  }

  record = (event, fields) => {
    const entry = { at: this.now, event, ...fields }
    this.events.push(entry)
    appendFileSync(this.recordPath, `${entry.at.toFixed(1)} ${event} ${Object.entries(fields).map(([key, value]) => `${key}=${value}`).join(' ')}\n`)
  }

  /** Whether the platform sends new connections to the entry: it does so while this check is answered with 200. */
  async isReady ({ ip }) {
    const res = await fetch(`http://${ip}:${READY_PORT}/-/readyz`).catch(() => undefined)
    return res?.status === 200
  }

  settings (name, ip, zone, own) {
    const seeds = [0, 1, 2].map((index) => `${this.ip(1, index)}:${CONTROL_PORT}`)
    return [
      `nodeName=${name}`, `ip=${ip}`, `zone=${zone}`, 'region=r', 'zones.z1=r', 'zones.z2=r', 'zones.z3=r', `portRange=${SESSION_PORT},${SESSION_PORT + 15}`, `seeds=${seeds}`,
      'bootstrap=true', `heartbeatMs=${HEARTBEAT_MS}`, `platform.address=${this.store.address}`, 'platform.form=table', 'orders=invoke',
      ...Object.entries(BOUNDS).map(([key, value]) => `bounds.${key}=${value}`), ...own
    ].join('\n')
  }

  async addEntry (index) {
    const ip = this.ip(1, index)
    const settings = this.settings(`edge-${index}`, ip, `z${index % 3 + 1}`, [`listen.front=${ip}:${FRONT_PORT}`, `listen.ready=${ip}:${READY_PORT}`, `listen.control=${ip}:${CONTROL_PORT}`])
    const program = new RoleProcess('entry', `edge-${index}`, settings, this.directory)
    program.start()
    this.entries.push({ program, ip, port: FRONT_PORT })
  }

  async addWorker (index, capacity) {
    const ip = this.ip(2, index)
    const control = `${ip}:${CONTROL_PORT}`
    const zone = `z${index % 3 + 1}`
    const executor = new Executor({ id: `i-${index}`, service: SERVICE, zone, capacity, record: this.record })
    await executor.listen(ip)
    const program = new RoleProcess('agent', `side-${index}`, this.settings(`side-${index}`, ip, zone, [`listen.control=${control}`, `app=${executor.address}`, `service=${SERVICE}`]), this.directory)
    program.start()
    void executor.beat(control, HEARTBEAT_MS)
    this.workers.push({ program, executor, control })
  }

  get programs () {
    return [...this.entries, ...this.workers].map(({ program }) => program)
  }

  /** Ends all processes and stand-ins. */
  async stop () {
    await Promise.all(this.programs.map((program) => program.stop()))
    for (const { executor } of this.workers) executor.close()
    this.store.close()
  }
}
