import { SimSuite } from "./simSuite";

SimSuite.part(5, 7);
