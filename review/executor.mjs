// Stand-in of an executor, as PROTOCOL.md describes it: starts, stops and leases of tasks, and heartbeats.
import { createServer, request } from 'node:http'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'

const HOLD_STEP_MS = 3
const CLOCK_AT_START_MS = 400_000
/** A stop takes this long; the pages allow `stopMs`, 50. */
const STOP_MS = 20
const HOLD_MAX_MS = 1000

const readJson = async (req) => {
  let text = ''
  for await (const chunk of req) text += String(chunk)
  return text === '' ? {} : JSON.parse(text)
}

/** One life of an executor. A task's spec is JSON with its run time, `ms`. */
export class Executor {
  runs = new Map()
  endedRuns = new Map()
  ends = []
  endCount = 0
  token = 0
  sequence = 0
  leaseUntil = 0
  state = 'ready'
  startedAt = performance.now()

  /**
   * @param id - its id
   * @param service - its service
   * @param zone - its zone
   * @param capacity - cpu and memMb
   * @param record - is told of each event of a run
   */
  constructor ({ id, service, zone, capacity, record }) {
    Object.assign(this, { id, service, zone, capacity, record })
  }

  /** Listens on a free port of the address. */
  async listen (ip) {
    this.server = createServer((req, res) => { void this.handle(req, res) })
    this.server.keepAliveTimeout = 600_000
    this.server.listen(0, ip)
    await once(this.server, 'listening')
    this.address = `${ip}:${this.server.address().port}`
    this.leaseTimer = setInterval(() => this.checkLease(), 5)
  }

  /** Sends heartbeats to the agent until closed. */
  async beat (control, intervalMs) {
    while (!this.isClosed) {
      await this.heartbeat(control)
      await sleep(intervalMs)
    }
  }

  /** Sends a heartbeat; resolves with the status of the answer, 0 without one. */
  heartbeat (control) {
    const body = JSON.stringify({
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      warmupRemainingMs: 0,
      capacity: { ...this.capacity, gpu: 0 },
      labels: ['a', 'r1-1'],
      clockMs: this.clockMs,
      seq: ++this.sequence
    })
    return this.send(control, 'PUT', body)
  }

  /** Sends a call about this executor to its agent; resolves with the status of the answer, 0 without one. */
  send (control, method, body) {
    return new Promise((resolve) => {
      const [host, port] = control.split(':')
      const req = request({ host, port, method, path: `/-/executors/${this.id}`, agent: false, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) } }, (res) => {
        res.resume()
        res.on('end', () => resolve(res.statusCode))
      })
      req.setTimeout(1000, () => req.destroy())
      req.on('error', () => resolve(0))
      req.end(body)
    })
  }

  /** Ends the executor with all that runs on it. */
  close () {
    this.isClosed = true
    clearInterval(this.leaseTimer)
    for (const [task, { run, timer }] of this.runs) {
      clearTimeout(timer)
      this.record('end', { executor: this.id, task, run, how: 'closed' })
    }
    this.runs.clear()
    this.server.close()
    this.server.closeAllConnections()
  }

  get clockMs () {
    return Math.floor(performance.now() - this.startedAt) + CLOCK_AT_START_MS
  }

  async handle (req, res) {
    const body = await readJson(req).catch(() => undefined)
    if (body === undefined || this.isClosed) return res.destroy()
    const { status, answer } = req.headers['hazellift-expect-instance'] === this.id ? await this.execute(req.url, body) : { status: 421, answer: {} }
    if (!res.destroyed) res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify({ clockMs: this.clockMs, ...answer }))
  }

  async execute (call, { fencingToken = 0, untilMs, ...body }) {
    if (this.isClosed) return { status: 503, answer: {} }
    if (fencingToken < this.token) return { status: 409, answer: { reason: 'fence' } }
    this.token = fencingToken
    if (untilMs !== undefined) this.leaseUntil = Math.max(this.leaseUntil, Math.min(untilMs, this.clockMs + HOLD_MAX_MS))
    switch (call) {
      case '/-/run-start': return this.start(body, untilMs)
      case '/-/run-stop': return this.stop(body)
      case '/-/hold': return this.hold(body)
      default: return { status: 404, answer: {} }
    }
  }

  start ({ task, run, spec }, untilMs) {
    if (run <= (this.endedRuns.get(task) ?? 0)) return { status: 409, answer: { reason: 'old' } }
    const known = this.runs.get(task)
    if (known?.run === run) return { status: 200 }
    if (known !== undefined) return { status: 409, answer: { reason: 'old' } }
    if (untilMs === undefined || untilMs <= this.clockMs) return { status: 409, answer: { reason: 'late' } }
    this.runs.set(task, { run, timer: setTimeout(() => this.end(task, 'done'), JSON.parse(spec).ms) })
    this.record('start', { executor: this.id, task, run, spec })
    return { status: 200 }
  }

  stop ({ task, run }) {
    this.endedRuns.set(task, Math.max(run, this.endedRuns.get(task) ?? 0))
    if ((this.runs.get(task)?.run ?? Infinity) <= run) setTimeout(() => this.end(task, 'stopped', run), STOP_MS)
    return { status: 200 }
  }

  async hold ({ lastSeen = 0, waitMs = 0 }) {
    this.ends = this.ends.filter(([seq]) => seq > lastSeen)
    const until = performance.now() + waitMs
    while (this.ends.length === 0 && performance.now() < until && !this.isClosed) await sleep(HOLD_STEP_MS)
    return { status: 200, answer: { running: [...this.runs].map(([task, { run }]) => [task, run, '', 100, 0]), finished: this.ends } }
  }

  checkLease () {
    if (this.clockMs > this.leaseUntil) for (const task of [...this.runs.keys()]) this.end(task, 'lapsed')
  }

  end (task, how, upTo = Infinity) {
    const running = this.runs.get(task)
    if (running === undefined || running.run > upTo) return
    clearTimeout(running.timer)
    this.runs.delete(task)
    this.endedRuns.set(task, Math.max(running.run, this.endedRuns.get(task) ?? 0))
    this.ends.push([++this.endCount, task, running.run, how, ''])
    this.record('end', { executor: this.id, task, run: running.run, how })
  }
}
