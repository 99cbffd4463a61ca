import { fail, ok } from '@hazellift/common'
import { createHttpCaller } from './createHttpCaller.js'
import type { HttpStoreOptions } from './createHttpCaller.js'
import type { ObjectStore } from './types.js'

const pathOf = (name: string): string => `/v1/objects/${name.split('/').map(encodeURIComponent).join('/')}`

/**
 * Client of the object store over HTTP: PUT, GET and DELETE by name.
 *
 * @param options - base URL, time limit and observer
 */
export const createHttpObjects = (options: HttpStoreOptions): ObjectStore => {
  const call = createHttpCaller(options)
  return {
    put: async (name, value) => {
      const res = await call({ name: 'put', method: 'PUT', path: pathOf(name), body: value })
      if (!res.ok) return res
      return res.value.status === 404 ? fail({ type: 'invalid', message: 'no such bucket' }) : ok(undefined)
    },
    get: async (name) => {
      const res = await call({ name: 'get', method: 'GET', path: pathOf(name) })
      if (!res.ok) return res
      return ok(res.value.status === 404 ? undefined : res.value.body)
    },
    delete: async (name) => {
      const res = await call({ name: 'delete', method: 'DELETE', path: pathOf(name) })
      return res.ok ? ok(undefined) : res
    }
  }
}
