/** The lowest HTTP status that counts as an error of an endpoint. */
const FIRST_ERROR_STATUS = 400;

/** Whether the HTTP status of an endpoint's response is an error. */
export const isErrorStatus = (status: number): boolean => status >= FIRST_ERROR_STATUS;
