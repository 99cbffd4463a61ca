import { create, fromJsonString, toJsonString } from '@bufbuild/protobuf'
import type { DescMessage, MessageInitShape, MessageShape } from '@bufbuild/protobuf'
import { errorMessage, fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'
import {
  ReadRequestSchema, RowListSchema, ScanRequestSchema, TransactRequestSchema, TransactResponseSchema
} from '@hazellift/protocol'
import type { Row, TransactResponse } from '@hazellift/protocol'
import type { StoreFault } from './errors.js'
import { createHttpCaller } from './createHttpCaller.js'
import type { HttpStoreOptions } from './createHttpCaller.js'
import type { TableRow, TableService, TableWrite, TransactOutcome } from './types.js'

const toTableRow = ({ key, version, value }: Row): TableRow => ({ key, version, value })

const toWire = ({ key, ifVersion, value }: TableWrite) =>
  ({ key, ifVersion, remove: value === undefined, value: value ?? new Uint8Array() })

const toOutcome = (res: TransactResponse): TransactOutcome => res.committed
  ? { type: 'committed', version: res.version }
  : { type: 'conflict', rows: res.conflicts.map(toTableRow) }

/**
 * Client of the table service over its HTTP protocol.
 *
 * @param options - base URL, time limit and observer
 */
export const createHttpTable = (options: HttpStoreOptions): TableService => {
  const call = createHttpCaller(options)

  const post = async <Req extends DescMessage, Res extends DescMessage>(
    name: string, reqSchema: Req, resSchema: Res, init: MessageInitShape<Req>
  ): Promise<Result<MessageShape<Res>, StoreFault>> => {
    const body = toJsonString(reqSchema, create(reqSchema, init))
    const reply = await call({ name, method: 'POST', path: `/v1/table/${name}`, body })
    if (!reply.ok) return reply
    try {
      return ok(fromJsonString(resSchema, Buffer.from(reply.value.body).toString()))
    } catch (err) {
      return fail({ type: 'unknown', message: `unreadable response: ${errorMessage(err)}` })
    }
  }

  return {
    read: async (keys) => {
      const res = await post('read', ReadRequestSchema, RowListSchema, { keys })
      return res.ok ? ok(res.value.rows.map(toTableRow)) : res
    },
    scan: async (prefix, after, limit) => {
      const res = await post('scan', ScanRequestSchema, RowListSchema, { prefix, after, limit })
      return res.ok ? ok(res.value.rows.map(toTableRow)) : res
    },
    transact: async (writes) => {
      const res = await post('transact', TransactRequestSchema, TransactResponseSchema, { writes: writes.map(toWire) })
      return res.ok ? ok(toOutcome(res.value)) : res
    }
  }
}
