import { PolicyRule } from "../controlState/policy";

/** The properties of a request that policy rules match. */
export interface PolicySubject {
  route: string;
  kind: string;
  caller: string;
}

/**
 * Returns the first rule that matches the subject and has the given effect; later rules with that effect do not apply.
 *
 * @example
 * const rule = firstMatchingRule({ route: "ask", kind: "lookup", caller: "" }, policies, (each) => each.order !== undefined);
 */
export function firstMatchingRule(
  subject: PolicySubject,
  rules: PolicyRule[],
  hasEffect: (rule: PolicyRule) => boolean,
): PolicyRule | undefined {
  return rules.find(
    (rule) =>
      hasEffect(rule) &&
      (rule.match.binding === undefined || rule.match.binding === subject.route) &&
      (rule.match.kind === undefined || rule.match.kind === subject.kind) &&
      (rule.match.caller === undefined || rule.match.caller === subject.caller),
  );
}
