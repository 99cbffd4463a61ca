// A client: sends a job, waits for the answer until its deadline, and sends it again as PROTOCOL.md says.
import { request } from 'node:http'
import { HOST, PREFIX } from './cluster.mjs'

/**
 * Makes one request on a connection of its own; closes it when the deadline has passed.
 *
 * @returns the status and body, or why there is none
 */
export const call = ({ ip, port }, method, id, { body, deadlineMs = 1500 } = {}) => new Promise((resolve) => {
  const text = body === undefined ? '' : JSON.stringify(body)
  const headers = { host: HOST, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'hazellift-deadline-ms': deadlineMs }
  const req = request({ host: ip, port, method, path: PREFIX + id, agent: false, headers }, (res) => {
    let answer = ''
    res.on('data', (chunk) => { answer += String(chunk) })
    res.on('end', () => { clearTimeout(timer); resolve({ status: res.statusCode, body: answer }) })
    res.on('error', () => { clearTimeout(timer); resolve({ status: 0, why: 'broken' }) })
  })
  // An ordinary close: the peer receives FIN.
  const timer = setTimeout(() => { resolve({ status: 0, why: 'deadline' }); req.destroy() }, deadlineMs)
  req.on('error', () => { clearTimeout(timer); resolve({ status: 0, why: 'broken' }) })
  req.end(text)
})

let ids = Math.floor(Math.random() * 2 ** 32)
/** A new job id. */
export const newId = () => (++ids).toString(16).padStart(16, '0')

/** Body of a job with `count` tasks of `ms` each, which need not be kept. */
export const jobOf = ({ ms, count, cpu = 1600 }) =>
  ({ spec: JSON.stringify({ ms }), bestEffort: true, steps: [{ count, cpu, memMb: 64, estimateMs: ms }] })
