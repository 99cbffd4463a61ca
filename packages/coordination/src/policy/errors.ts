/** Thrown when an expression of a policy fails during evaluation; names the policy's field and the cause. */
export class PolicyEvaluationError extends Error {
  constructor (readonly field: string, detail: string) {
    super(`policy field '${field}': ${detail}`)
    this.name = 'PolicyEvaluationError'
  }
}
