/** An expression of a policy failed while it ran. */
export class PolicyEvaluationError extends Error {
  constructor (readonly field: string, detail: string) {
    super(`policy field '${field}': ${detail}`)
    this.name = 'PolicyEvaluationError'
  }
}
