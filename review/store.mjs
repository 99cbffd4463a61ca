// Stand-in of the platform's metadata store: rows, conditions and changes, as PROTOCOL.md describes them.
import { createServer } from 'node:http'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'

const FEED_STEP_MS = 5

const readJson = async (req) => {
  let text = ''
  for await (const chunk of req) text += String(chunk)
  return text === '' ? {} : JSON.parse(text)
}

/** The store; all parts of tables that the system uses are empty here. */
export class Store {
  version = 1
  rows = new Map()
  history = []

  /** Starts the store on a free port of the address. */
  static async start (ip) {
    const store = new Store()
    store.server = createServer((req, res) => { void store.handle(req, res) })
    store.server.listen(0, ip)
    await once(store.server, 'listening')
    store.address = `${ip}:${store.server.address().port}`
    return store
  }

  /** Writes a row, as the operator does; returns its version. */
  put (table, key, value) {
    return this.write({ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') })
  }

  write (row) {
    const stored = { ...row, ver: ++this.version }
    this.rows.set(`${row.table}/${row.key}`, stored)
    this.history.push(stored)
    return stored.ver
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  async handle (req, res) {
    const body = await readJson(req).catch(() => ({}))
    const { status, answer } = await this.answer(new URL(req.url, 'http://store'), body)
    if (!res.destroyed) res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify({ ...answer, ver: this.version, nowMs: Math.floor(performance.now()) }))
  }

  async answer ({ pathname, searchParams }, body) {
    switch (pathname) {
      case '/-/rows-get': return { status: 200, answer: { rows: this.present(searchParams.get('table')), hasMore: false } }
      case '/-/rows-feed': return { status: 200, answer: { rows: await this.feed(searchParams) } }
      case '/-/rows-tx': return this.transact(body)
      default: return { status: 404, answer: {} }
    }
  }

  present (table) {
    return [...this.rows.values()].filter((row) => row.table === table && row.deleted === undefined).sort((a, b) => a.key < b.key ? -1 : 1)
  }

  async feed (searchParams) {
    const after = Number(searchParams.get('after'))
    const until = performance.now() + Number(searchParams.get('waitMs'))
    const changes = () => [...this.rows.values()].filter(({ table, ver }) => table === searchParams.get('table') && ver > after).sort((a, b) => a.ver - b.ver)
    while (changes().length === 0 && performance.now() < until) await sleep(FEED_STEP_MS)
    return changes()
  }

  transact ({ expectedRev = [], writes = [], remove = [] }) {
    if ([...writes, ...remove].some(({ table }) => table === 'op' || table === 'servers')) return { status: 403, answer: {} }
    const found = expectedRev.map(({ table, key }) => this.rows.get(`${table}/${key}`)).map((row) => row?.deleted ? undefined : row)
    if (expectedRev.some(({ ver }, index) => (found[index]?.ver ?? 0) !== ver)) return { status: 412, answer: { rows: found.filter((row) => row !== undefined) } }
    for (const row of writes) this.write(row)
    for (const row of remove) this.write({ ...row, value: '', deleted: true })
    return { status: 200, answer: {} }
  }
}
