import { describe, expect, test } from 'vitest'
import { compilePolicy } from './compilePolicy.js'
import type { PolicyJob, PolicySource } from './types.js'

const JOB: PolicyJob = {
  id: 'j1', service: 'order-desk', tasks: 20, payloadBytes: 100, unrepeatable: false, deadlineMs: 1000, labels: { kind: 'quote' }
}
const USAGE = { running: 3, queued: 7 }

const evaluate = (source: Partial<PolicySource>) => {
  const compiled = compilePolicy(source)
  if (!compiled.ok) throw new Error(JSON.stringify(compiled.err))
  return compiled.value.evaluate(JOB, USAGE)
}

describe('compilePolicy', () => {
  test.each<{ source: Partial<PolicySource>, expected: object }>([
    { source: {}, expected: { admit: true, priority: 0, running: 0, queued: 0, rate: 0, retries: 0 } },
    { source: { admit: 'job.tasks <= 10' }, expected: { admit: false } },
    { source: { admit: 'usage.queued < 5', reason: '"queue of " + string(usage.queued)' }, expected: { admit: false, reason: 'queue of 7' } },
    { source: { priority: 'job.labels["kind"] == "quote" ? 5 : -1' }, expected: { priority: 5 } },
    { source: { rate: '2.5', running: '40', retries: 'job.unrepeatable ? 0 : 2' }, expected: { rate: 2.5, running: 40, retries: 2 } },
    { source: { admit: '["a", "quote"].exists(k, k == job.labels["kind"])' }, expected: { admit: true } }
  ])('evaluates $source', ({ source, expected }) => {
    expect(evaluate(source)).toMatchObject(expected)
  })

  test.each<{ source: Partial<PolicySource>, fault: object }>([
    { source: { admit: 'job.task > 1' }, fault: { field: 'admit', line: 1, column: 5 } },
    { source: { admit: 'true &&\n  job.tasks >' }, fault: { field: 'admit', line: 2 } },
    { source: { admit: 'job.tasks' }, fault: { field: 'admit', message: 'must be bool, is int' } },
    { source: { priority: '"high"' }, fault: { field: 'priority', message: 'must be int, is string' } },
    { source: { running: 'other.workspace' }, fault: { field: 'running' } },
    { source: { admit: 'job.id.matches("(a+)+$")' }, fault: { message: 'matches() is not available in policies' } },
    { source: { admit: '[1].all(a, [2].all(b, a < b))' }, fault: { message: 'all() must not stand within another loop' } },
    { source: { admit: Array(400).fill('true').join(' && ') }, fault: { field: 'admit' } },
    { source: { admit: `true || "${'x'.repeat(5000)}" == ""` }, fault: { message: 'longer than 4096 characters' } }
  ])('refuses $source.admit $source.priority', ({ source, fault }) => {
    const compiled = compilePolicy(source)
    expect(compiled).toMatchObject({ ok: false, err: [fault] })
  })

  test.each<Partial<PolicySource>>([
    { admit: 'job.labels["absent"] == "x"' },
    { running: '10 / (usage.running - 3)' },
    { queued: '-1' },
    { rate: '1e300' }
  ])('throws when an expression fails during evaluation: %o', (source) => {
    expect(() => evaluate(source)).toThrow(/policy field/)
  })
})
