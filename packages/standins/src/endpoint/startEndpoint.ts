import { appendFileSync } from 'node:fs'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'

/** How the stand-in runs tasks. */
export const ENDPOINT_MODES = {
  ok: 'ok',
  /** Every task is answered with status 500 at once. */
  fail: 'fail',
  /** No task is answered. */
  hang: 'hang',
  /** Connections are cut after the task was started. */
  cut: 'cut'
} as const

/** What can be set while the stand-in runs. */
export interface EndpointBehaviour {
  mode: typeof ENDPOINT_MODES[keyof typeof ENDPOINT_MODES]
  /** Factor on the time of every task. */
  slowness: number
  /** False stops the heartbeats, without a withdrawal. */
  announces: boolean
}

/** What a task's payload may say, as JSON. */
interface TaskPayload {
  /** Time that the task takes. */
  ms?: number
  /** Given back in the answer. */
  value?: string
  /** Answer with status 500. */
  fail?: boolean
  /** Bytes of filling in the answer. */
  bytes?: number
}

/** Start options of an endpoint. */
export interface EndpointOptions {
  id: string
  host: string
  agentUrl: string
  service: string
  slots: number
  connections: number
  heartbeatMs: number
  /** Every start is appended here before it runs, one key a line, so that a kill loses none. */
  recordFile?: string
  /** host:port to announce instead of the one listened on. */
  advertise?: string
}

/** A running endpoint. */
export interface RunningEndpoint {
  server: Server
  address: string
  /** Withdraws, and waits for what runs. */
  stop: () => Promise<void>
}

const readText = async (req: IncomingMessage): Promise<string> => {
  let text = ''
  for await (const chunk of req) text += String(chunk)
  return text
}

const parsePayload = (text: string): TaskPayload => {
  try {
    return JSON.parse(text) as TaskPayload
  } catch {
    return { value: text }
  }
}

/** Runs tasks and records each start. */
class Endpoint {
  readonly behaviour: EndpointBehaviour = { mode: ENDPOINT_MODES.ok, slowness: 1, announces: true }
  readonly starts: { key: string, at: number }[] = []
  running = 0
  peak = 0

  constructor (private readonly options: EndpointOptions) {}

  async run (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const payload = parsePayload(await readText(req))
    this.record(String(req.headers['idempotency-key']))
    this.running++
    this.peak = Math.max(this.peak, this.running)
    await this.execute(payload, res)
    this.running--
  }

  private record (key: string): void {
    this.starts.push({ key, at: Date.now() })
    if (this.options.recordFile !== undefined) appendFileSync(this.options.recordFile, `${key}\n`)
  }

  private async execute ({ ms = 0, value = '', fail = false, bytes = 0 }: TaskPayload, res: ServerResponse): Promise<void> {
    const { mode, slowness } = this.behaviour
    const closed = once(res, 'close')
    switch (mode) {
      case ENDPOINT_MODES.fail:
        res.writeHead(500).end('this endpoint fails everything')
        return
      case ENDPOINT_MODES.cut:
        res.destroy()
        return
      case ENDPOINT_MODES.hang:
        await closed
        return
      case ENDPOINT_MODES.ok:
        await Promise.race([sleep(ms * slowness), closed])
        if (fail) res.writeHead(500).end('the task asked to fail')
        else res.writeHead(200).end(JSON.stringify({ value, by: this.options.id, fill: 'x'.repeat(bytes) }))
    }
  }
}

const startAnnouncing = (options: EndpointOptions, address: string, endpoint: Endpoint): (() => Promise<void>) => {
  const controller = new AbortController()
  const body = JSON.stringify({
    service: options.service, address: `http://${address}`, slots: options.slots, connections: options.connections
  })
  const send = async (method: 'PUT' | 'DELETE'): Promise<void> => {
    try {
      const res = await request(`${options.agentUrl}/endpoint`, { method, body: method === 'PUT' ? body : null })
      await res.body.dump()
    } catch {
      // The agent is away; the next heartbeat tries again.
    }
  }
  const loop = async (): Promise<void> => {
    while (!controller.signal.aborted) {
      if (endpoint.behaviour.announces) await send('PUT')
      await sleep(options.heartbeatMs)
    }
  }
  void loop()
  return async () => {
    controller.abort()
    await send('DELETE')
  }
}

/**
 * Starts a stand-in endpoint. `PUT /control` sets its behaviour, `GET /record`
 * tells every start.
 *
 * @param options - identity, agent and capacity
 */
export const startEndpoint = async (options: EndpointOptions): Promise<RunningEndpoint> => {
  const endpoint = new Endpoint(options)
  const server = createServer(async (req, res) => {
    if (req.method === 'POST' && req.url === '/run') return endpoint.run(req, res)
    if (req.method === 'PUT' && req.url === '/control') Object.assign(endpoint.behaviour, JSON.parse(await readText(req)))
    const { starts, running, peak } = endpoint
    res.writeHead(200).end(JSON.stringify({ starts, running, peak }))
  })
  server.listen(0, options.host)
  await once(server, 'listening')
  const address = `${options.host}:${(server.address() as AddressInfo).port}`
  const withdraw = startAnnouncing(options, options.advertise ?? address, endpoint)
  return {
    server,
    address,
    stop: async () => {
      await withdraw()
      while (endpoint.running > 0) await sleep(10)
    }
  }
}
