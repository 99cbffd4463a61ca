/**
 * What is printed when a test with a cluster fails: the latest replies, and the state of
 * its programs. A test that fails rarely, beside load, can be traced by that alone.
 */
import type { Cluster } from '@hazellift/standins'

const MAX_REPLIES = 40
const METRICS_TIMEOUT_MS = 2000

/** The fields of a reply that tell how a request ended. */
interface ReplyOutcome {
  status: number
  state: string
  reason: string
  run: string
  message: string
}

const replies: string[] = []

/** Remembers how a request ended, for the report of a later failure. */
export const recordReply = (request: string, ms: number, { status, state, reason, run, message }: ReplyOutcome): void => {
  replies.push(`${new Date().toISOString()} ${request} ms=${Math.round(ms)} status=${status} state=${state} reason=${reason} run=${run} message="${message}"`)
  if (replies.length > MAX_REPLIES) replies.shift()
}

/** Reads the counters and gauges of an entry that are not zero, without histograms' buckets. */
const readMetrics = async (url: string): Promise<string> => {
  try {
    const text = await (await fetch(`${url}/metrics`, { signal: AbortSignal.timeout(METRICS_TIMEOUT_MS) })).text()
    return text.split('\n').filter((line) => line.startsWith('hazellift_') && !line.includes('_bucket{') && !line.endsWith(' 0')).join('\n')
  } catch (err) {
    return String(err)
  }
}

/** Describes the latest replies, the entries' metrics and the programs' latest log lines. */
export const describeFailure = async (cluster: Cluster): Promise<string> => {
  const metrics = await Promise.all(cluster.entries.map(async (_entry, index) => `--- metrics of entry ${index}\n${await readMetrics(cluster.apiUrl(index))}`))
  return [`--- latest replies\n${replies.join('\n')}`, ...metrics, cluster.recentLogs()].join('\n')
}
