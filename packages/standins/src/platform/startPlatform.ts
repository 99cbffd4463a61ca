import { once } from 'node:events'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { create, fromJsonString, toJsonString } from '@bufbuild/protobuf'
import type { DescMessage, MessageShape } from '@bufbuild/protobuf'
import {
  ReadRequestSchema, RowListSchema, ScanRequestSchema, TransactRequestSchema, TransactResponseSchema
} from '@hazellift/protocol'
import createRouter from 'find-my-way'
import { HEALTHY, PLATFORM_MODES, CallPacer } from './faults.js'
import type { PlatformFaults } from './faults.js'
import { MemoryTable } from './memoryTable.js'

/** A running stand-in platform. */
export interface RunningPlatform {
  server: Server
  address: string
}

/** Calls so far, as `GET /counts` returns them. */
interface CallCounts {
  reads: number
  writes: number
  rowsWritten: number
  objectCalls: number
}

const readBytes = async (req: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = []
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
  return Buffer.concat(chunks)
}

const sendJson = (res: ServerResponse, text: string): void => {
  res.writeHead(200, { 'content-type': 'application/json' }).end(text)
}

const send = <Desc extends DescMessage>(res: ServerResponse, schema: Desc, message: MessageShape<Desc>): void =>
  sendJson(res, toJsonString(schema, message))

/** State and request handlers of the table service and the object store of one stand-in. */
class Platform {
  readonly table = new MemoryTable()
  readonly objects = new Map<string, Buffer>()
  readonly counts: CallCounts = { reads: 0, writes: 0, rowsWritten: 0, objectCalls: 0 }
  faults: PlatformFaults = { ...HEALTHY }
  private readonly readPacer = new CallPacer()
  private readonly writePacer = new CallPacer()

  /** Applies faults and delays to a call; resolves with false if the call was refused or is left unanswered. */
  async admit (res: ServerResponse, kind: 'read' | 'write'): Promise<boolean> {
    if (this.refuseIfUnavailable(res)) return false
    const { readMs, writeMs, readsPerSecond, writesPerSecond } = this.faults
    const waitMs = kind === 'read' ? this.readPacer.nextDelayMs(readsPerSecond) + readMs : this.writePacer.nextDelayMs(writesPerSecond) + writeMs
    await sleep(waitMs)
    return !this.refuseIfUnavailable(res)
  }

  async read (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { keys } = fromJsonString(ReadRequestSchema, String(await readBytes(req)))
    this.counts.reads++
    if (!await this.admit(res, 'read')) return
    send(res, RowListSchema, create(RowListSchema, { rows: this.table.read(keys) }))
  }

  async scan (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { prefix, after, limit } = fromJsonString(ScanRequestSchema, String(await readBytes(req)))
    this.counts.reads++
    if (!await this.admit(res, 'read')) return
    send(res, RowListSchema, create(RowListSchema, { rows: this.table.scan(prefix, after, limit) }))
  }

  async transact (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { writes } = fromJsonString(TransactRequestSchema, String(await readBytes(req)))
    if (!await this.admit(res, 'write')) return
    const { holdWrites, holdPrefix } = this.faults
    if (holdWrites > 0 && writes.some(({ key }) => key.startsWith(holdPrefix))) {
      this.faults.holdWrites--
      await sleep(this.faults.holdMs)
    }
    this.counts.writes++
    this.counts.rowsWritten += writes.length
    const outcome = this.table.transact(writes.map(({ key, ifVersion, value, remove }) =>
      ({ key, ifVersion, value: remove ? undefined : value })))
    if (this.faults.loseAcks > 0) {
      this.faults.loseAcks--
      res.destroy()
      return
    }
    const response = outcome.type === 'committed'
      ? create(TransactResponseSchema, { committed: true, version: outcome.version })
      : create(TransactResponseSchema, { conflicts: outcome.rows })
    send(res, TransactResponseSchema, response)
  }

  async object (req: IncomingMessage, res: ServerResponse, name: string): Promise<void> {
    const body = await readBytes(req)
    this.counts.objectCalls++
    if (!await this.admit(res, req.method === 'GET' ? 'read' : 'write')) return
    const stored = this.objects.get(name)
    if (req.method === 'PUT') this.objects.set(name, body)
    if (req.method === 'DELETE') this.objects.delete(name)
    const isMissing = req.method === 'GET' && stored === undefined
    res.writeHead(isMissing ? 404 : 200).end(req.method === 'GET' ? stored : undefined)
  }

  async control (req: IncomingMessage, res: ServerResponse): Promise<void> {
    Object.assign(this.faults, JSON.parse(String(await readBytes(req))))
    sendJson(res, JSON.stringify(this.faults))
  }

  /** True if the call must have no effect; in mode `refuse` it is also answered with status 503. */
  private refuseIfUnavailable (res: ServerResponse): boolean {
    if (this.faults.mode === PLATFORM_MODES.refuse) res.writeHead(503).end('out of service')
    return this.faults.mode !== PLATFORM_MODES.ok
  }
}

/**
 * Starts a stand-in for the platform's table service and object store. `PUT
 * /control` sets its faults, `GET /counts` returns the numbers of its calls.
 *
 * @param host - address to listen on
 * @param port - port to listen on, or 0 for a free one
 */
export const startPlatform = async (host: string, port: number): Promise<RunningPlatform> => {
  const platform = new Platform()
  const router = createRouter()
  router.on('POST', '/v1/table/read', (req, res) => platform.read(req as never, res as never))
  router.on('POST', '/v1/table/scan', (req, res) => platform.scan(req as never, res as never))
  router.on('POST', '/v1/table/transact', (req, res) => platform.transact(req as never, res as never))
  for (const method of ['GET', 'PUT', 'DELETE'] as const) {
    router.on(method, '/v1/objects/*', (req, res, params) => platform.object(req as never, res as never, params['*'] ?? ''))
  }
  router.on('PUT', '/control', (req, res) => platform.control(req as never, res as never))
  router.on('GET', '/counts', (_req, res) => sendJson(res as never, JSON.stringify({ ...platform.counts, rows: platform.table.size })))
  const server = createServer((req, res) => router.lookup(req, res))
  server.listen(port, host)
  await once(server, 'listening')
  return { server, address: `${host}:${(server.address() as AddressInfo).port}` }
}
