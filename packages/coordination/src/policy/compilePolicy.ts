import { errorMessage, fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'
import { Environment, EvaluationError, ParseError, TypeError as CelTypeError } from '@marcbachmann/cel-js'
import type { ParseResult } from '@marcbachmann/cel-js'
import { findCostFault } from './findCostFault.js'
import { MAX_POLICY_NUMBER, POLICY_LIMITS } from './constants.js'
import { PolicyEvaluationError } from './errors.js'
import type { CompileFault, CompiledPolicy, PolicyDecision, PolicyJob, PolicySource, PolicyUsage } from './types.js'

type Field = keyof PolicyDecision

/** Allowed result types and default expression of each field of a policy. */
const FIELDS: Record<Field, { types: readonly string[], defaultSource: string }> = {
  admit: { types: ['bool'], defaultSource: 'true' },
  reason: { types: ['string'], defaultSource: '"denied by the workspace\'s policy"' },
  priority: { types: ['int'], defaultSource: '0' },
  running: { types: ['int'], defaultSource: '0' },
  queued: { types: ['int'], defaultSource: '0' },
  rate: { types: ['int', 'double'], defaultSource: '0' },
  retries: { types: ['int'], defaultSource: '0' }
}
const FIELD_NAMES = Object.keys(FIELDS) as Field[]
const SIGNED_FIELDS: ReadonlySet<Field> = new Set(['priority'])

const { maxAstNodes, maxDepth, maxListElements, maxMapEntries, maxCallArguments } = POLICY_LIMITS

const environment = new Environment({
  limits: { maxAstNodes, maxDepth, maxListElements, maxMapEntries, maxCallArguments }
})
  .registerVariable({
    name: 'job',
    schema: {
      id: 'string',
      service: 'string',
      tasks: 'int',
      payloadBytes: 'int',
      unrepeatable: 'bool',
      deadlineMs: 'int',
      labels: 'map<string, string>'
    }
  })
  .registerVariable({ name: 'usage', schema: { running: 'int', queued: 'int' } })

const faultAt = (field: Field, source: string, offset: number, message: string): CompileFault => {
  const before = source.slice(0, offset).split('\n')
  return { field, line: before.length, column: before.at(-1)!.length + 1, message }
}

const toFault = (field: Field, source: string, err: unknown): CompileFault => {
  const isCelError = err instanceof ParseError || err instanceof CelTypeError || err instanceof EvaluationError
  if (!isCelError) return faultAt(field, source, 0, errorMessage(err))
  return faultAt(field, source, err.range?.start ?? 0, err.summary)
}

const compileField = (field: Field, text: string): Result<ParseResult, CompileFault> => {
  const source = text.trim() === '' ? FIELDS[field].defaultSource : text
  if (source.length > POLICY_LIMITS.maxSourceLength) {
    return fail(faultAt(field, source, 0, `longer than ${POLICY_LIMITS.maxSourceLength} characters`))
  }
  try {
    const program = environment.parse(source)
    const checked = program.check()
    if (!checked.valid) return fail(toFault(field, source, checked.error))
    const { types } = FIELDS[field]
    if (!types.includes(checked.type ?? '')) {
      return fail(faultAt(field, source, 0, `must be ${types.join(' or ')}, is ${checked.type}`))
    }
    const cost = findCostFault(program.ast)
    return cost === undefined ? ok(program) : fail(faultAt(field, source, cost.node.start, cost.message))
  } catch (err) {
    return fail(toFault(field, source, err))
  }
}

const toNumber = (field: Field, value: bigint | number): number => {
  const number = Number(value)
  const min = SIGNED_FIELDS.has(field) ? -MAX_POLICY_NUMBER : 0
  if (number >= min && number <= MAX_POLICY_NUMBER) return number
  throw new PolicyEvaluationError(field, `${number} is not between ${min} and ${MAX_POLICY_NUMBER}`)
}

const evaluateField = (field: Field, program: ParseResult, context: object): boolean | string | number => {
  let value: unknown
  try {
    value = program(context)
  } catch (err) {
    throw new PolicyEvaluationError(field, err instanceof EvaluationError ? err.summary : errorMessage(err))
  }
  return typeof value === 'bigint' || typeof value === 'number' ? toNumber(field, value) : value as boolean | string
}

const toContext = (job: PolicyJob, usage: PolicyUsage): object => ({
  job: {
    ...job,
    tasks: BigInt(job.tasks),
    payloadBytes: BigInt(job.payloadBytes),
    deadlineMs: BigInt(job.deadlineMs)
  },
  usage: { running: BigInt(usage.running), queued: BigInt(usage.queued) }
})

/**
 * Compiles and type-checks a policy.
 *
 * @param source - expressions by field; missing and empty ones mean the defaults
 * @returns the compiled policy, or the first fault of every field that does not compile
 */
export const compilePolicy = (source: Partial<PolicySource>): Result<CompiledPolicy, CompileFault[]> => {
  const faults: CompileFault[] = []
  const programs = new Map<Field, ParseResult>()
  for (const field of FIELD_NAMES) {
    const compiled = compileField(field, source[field] ?? '')
    if (compiled.ok) programs.set(field, compiled.value)
    else faults.push(compiled.err)
  }
  if (faults.length > 0) return fail(faults)
  return ok({
    evaluate: (job, usage) => {
      const context = toContext(job, usage)
      const values = [...programs].map(([field, program]) => [field, evaluateField(field, program, context)])
      return Object.fromEntries(values) as PolicyDecision
    }
  })
}
